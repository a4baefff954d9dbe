package org.lentilsail.acceptance;

import java.time.Duration;
import org.lentilsail.model.time.TimeSource;

/** Deadline of a call, with exponential delays between its attempts. */
final class Deadline {
  /** Delay in ms before the second attempt. */
  private static final long FIRST_DELAY_MILLIS = 25;

  /** Maximum delay in ms; the platform counts each call. */
  private static final long MAX_DELAY_MILLIS = 400;

  private final TimeSource time;

  private final Sleeper sleeper;

  /** Deadline on the monotonic clock. */
  private final long endNanos;

  /** Next delay in ms. */
  private long delayMillis = FIRST_DELAY_MILLIS;

  Deadline(final TimeSource time, final Sleeper sleeper, final Duration limit) {
    this.time = time;
    this.sleeper = sleeper;
    this.endNanos = time.nanos() + limit.toNanos();
  }

  /** Returns the remaining time, at least 0. */
  Duration remaining() {
    return Duration.ofNanos(Math.max(0, endNanos - time.nanos()));
  }

  boolean isExpired() {
    return remaining().isZero();
  }

  /** Waits before the next attempt, at most until the deadline. */
  void sleepBeforeRetry() {
    final Duration next = Duration.ofMillis(delayMillis);
    delayMillis = Math.min(2 * delayMillis, MAX_DELAY_MILLIS);
    sleeper.sleep(next.compareTo(remaining()) < 0 ? next : remaining());
  }
}
