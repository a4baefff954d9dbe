package org.lentilsail.policy.health;

import java.util.random.RandomGenerator;

/** Counts the failures of one worker and manages its back-off. */
final class FailureTracker {
  /** Shortest back-off in ns. */
  private static final long MIN_BACKOFF_NANOS = 500_000_000L;

  /** Longest back-off in ns before jitter, which lengthens it to at most 30 s. */
  private static final long MAX_BACKOFF_NANOS = 20_000_000_000L;

  private int consecutiveFailures;

  /** Back-off without jitter that follows the next failure, in ns. */
  private long backoffNanos = MIN_BACKOFF_NANOS;

  /** Monotonic time at which the current back-off ends. */
  private long untilNanos;

  /** Whether the worker is withdrawn or on trial. */
  private boolean failing;

  /**
   * Counts a failure. Requests that were in flight when the worker was withdrawn fail together, so
   * failures within a back-off do not lengthen it.
   */
  void fail(final int limit, final long nowNanos, final RandomGenerator random) {
    consecutiveFailures++;
    final boolean backoffOver = !failing || nowNanos - untilNanos >= 0;
    if (consecutiveFailures >= limit && backoffOver) {
      failing = true;
      // Jitter of up to half of the delay spreads the return of workers that failed together.
      untilNanos = nowNanos + backoffNanos + (long) (random.nextDouble() * backoffNanos / 2);
      backoffNanos = Math.min(MAX_BACKOFF_NANOS, backoffNanos * 2);
    }
  }

  boolean failing() {
    return failing;
  }

  long untilNanos() {
    return untilNanos;
  }
}
