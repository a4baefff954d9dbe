package org.lentilsail.model.time;

/** Provides the current time to all components, so that tests can replace the system clocks. */
public interface TimeSource {
  /**
   * Returns the wall clock, which may jump; use it only for times that leave the process.
   *
   * @return milliseconds since the Unix epoch
   */
  long wallMillis();

  /**
   * Returns the monotonic clock, for durations and deadlines within the process.
   *
   * @return nanoseconds since an arbitrary origin
   */
  long nanos();

  /**
   * Returns a time source that reads the system clocks.
   *
   * @return the system time source
   */
  static TimeSource system() {
    return new SystemTime();
  }
}
