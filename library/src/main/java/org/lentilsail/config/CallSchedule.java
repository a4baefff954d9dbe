package org.lentilsail.config;

import java.time.Duration;
import org.lentilsail.model.time.TimeSource;

/** Lets one call of a kind run at a time and keeps calls apart. Not thread-safe. */
final class CallSchedule {
  /** Clock. */
  private final TimeSource time;

  /** Whether a call is under way. */
  private boolean running;

  /** Monotonic time before which no call begins. */
  private long nextNanos;

  CallSchedule(final TimeSource time) {
    this.time = time;
    this.nextNanos = time.nanos();
  }

  /** Begins a call if one is due and none is under way. */
  boolean tryBegin() {
    final boolean result = !running && time.nanos() - nextNanos >= 0;
    running |= result;
    return result;
  }

  /** Ends the call and sets how long to wait for the next one. */
  void end(final Duration wait) {
    running = false;
    postpone(wait);
  }

  void postpone(final Duration wait) {
    nextNanos = time.nanos() + wait.toNanos();
  }
}
