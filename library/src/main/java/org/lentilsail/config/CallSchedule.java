package org.lentilsail.config;

import java.time.Duration;
import org.lentilsail.model.time.TimeSource;

/** Limits a kind of call to one at a time, with a delay between calls. Not thread-safe. */
final class CallSchedule {
  private final TimeSource time;

  /** Whether a call is in progress. */
  private boolean running;

  /** Monotonic time in ns before which no call begins. */
  private long nextNanos;

  CallSchedule(final TimeSource time) {
    this.time = time;
    this.nextNanos = time.nanos();
  }

  /** Begins a call if one is due and none is in progress; returns whether it did. */
  boolean tryBegin() {
    final boolean result = !running && time.nanos() - nextNanos >= 0;
    running |= result;
    return result;
  }

  /** Ends the call and sets the delay before the next one. */
  void end(final Duration delay) {
    running = false;
    postpone(delay);
  }

  void postpone(final Duration delay) {
    nextNanos = time.nanos() + delay.toNanos();
  }
}
