package org.lentilsail.acceptance;

import java.time.Duration;
import org.lentilsail.model.time.TimeSource;

/** End of the time that a caller is willing to wait, with growing pauses between attempts. */
final class Deadline {
  /** First pause in ms. */
  private static final long FIRST_PAUSE_MILLIS = 25;

  /** Longest pause in ms; the platform counts each call. */
  private static final long LONGEST_PAUSE_MILLIS = 400;

  /** Clock. */
  private final TimeSource time;

  /** Waits between attempts. */
  private final Sleeper pause;

  /** End on the monotonic clock. */
  private final long endNanos;

  /** Next pause in ms. */
  private long pauseMillis = FIRST_PAUSE_MILLIS;

  Deadline(final TimeSource time, final Sleeper pause, final Duration limit) {
    this.time = time;
    this.pause = pause;
    this.endNanos = time.nanos() + limit.toNanos();
  }

  /** Returns the time left, not negative. */
  Duration remaining() {
    return Duration.ofNanos(Math.max(0, endNanos - time.nanos()));
  }

  boolean isExpired() {
    return remaining().isZero();
  }

  /** Waits before the next attempt, at most until the end. */
  void sleepBeforeRetry() {
    final Duration next = Duration.ofMillis(pauseMillis);
    pauseMillis = Math.min(2 * pauseMillis, LONGEST_PAUSE_MILLIS);
    pause.sleep(next.compareTo(remaining()) < 0 ? next : remaining());
  }
}
