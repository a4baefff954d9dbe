package org.lentilsail.policy.health;

import java.util.random.RandomGenerator;

/** Counts the failures of one worker and keeps its back-off. */
final class FailureTracker {
  /** Shortest back-off in ns. */
  private static final long FIRST_BACKOFF_NANOS = 500_000_000L;

  /** Longest back-off in ns before jitter, which lengthens it to at most 30 s. */
  private static final long LAST_BACKOFF_NANOS = 20_000_000_000L;

  /** Failures since the last success. */
  private int inRow;

  /** Back-off without jitter that follows the next failure, in ns. */
  private long backoffNanos = FIRST_BACKOFF_NANOS;

  /** Monotonic time at which the present back-off ends. */
  private long untilNanos;

  /** Whether the worker is withdrawn or on trial. */
  private boolean failing;

  /**
   * Counts a failure. Requests that were in flight when the worker was withdrawn fail together, so
   * failures within a back-off do not lengthen it.
   */
  void fail(final int limit, final long nowNanos, final RandomGenerator random) {
    inRow++;
    final boolean backoffOver = !failing || nowNanos - untilNanos >= 0;
    if (inRow >= limit && backoffOver) {
      failing = true;
      // Full delay plus up to half: workers that failed together come back spread out.
      untilNanos = nowNanos + backoffNanos + (long) (random.nextDouble() * backoffNanos / 2);
      backoffNanos = Math.min(LAST_BACKOFF_NANOS, backoffNanos * 2);
    }
  }

  boolean failing() {
    return failing;
  }

  long untilNanos() {
    return untilNanos;
  }
}
