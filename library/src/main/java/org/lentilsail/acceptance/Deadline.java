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
  private final Pause pause;

  /** End on the monotonic clock. */
  private final long endNanos;

  /** Next pause in ms. */
  private long pauseMillis = FIRST_PAUSE_MILLIS;

  Deadline(final TimeSource time, final Pause pause, final Duration limit) {
    this.time = time;
    this.pause = pause;
    this.endNanos = time.nanos() + limit.toNanos();
  }

  /** Returns the time left, not negative. */
  Duration left() {
    return Duration.ofNanos(Math.max(0, endNanos - time.nanos()));
  }

  boolean passed() {
    return left().isZero();
  }

  /** Waits before the next attempt, at most until the end. */
  void pauseBeforeRepeat() {
    final Duration next = Duration.ofMillis(pauseMillis);
    pauseMillis = Math.min(2 * pauseMillis, LONGEST_PAUSE_MILLIS);
    pause.pause(next.compareTo(left()) < 0 ? next : left());
  }
}
