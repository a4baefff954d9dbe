package org.lentilsail.model.time;

import java.util.OptionalLong;

/**
 * Both clocks at one moment, for an age that holds across a suspension and a jump of the wall
 * clock: the monotonic clock stops while a VM is suspended, and the wall clock may be set.
 *
 * @param nanos monotonic clock in ns
 * @param wallMillis wall clock in ms since the Unix epoch
 */
public record ClockReading(long nanos, long wallMillis) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Reads both clocks.
   *
   * @param time the clocks
   * @return the reading
   */
  public static ClockReading of(final TimeSource time) {
    return new ClockReading(time.nanos(), time.wallMillis());
  }

  /**
   * Returns the time that has elapsed since this reading.
   *
   * @param now later reading
   * @return the larger of the two elapsed times in ms, empty if the wall clock was set back to
   *     before this reading
   */
  public OptionalLong elapsedMillis(final ClockReading now) {
    final long wallElapsed = now.wallMillis - wallMillis;
    return wallElapsed < 0
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(wallElapsed, (now.nanos - nanos) / NANOS_PER_MILLI));
  }
}
