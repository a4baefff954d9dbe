package org.lentilsail.model.time;

/** Gives the present time to every part, so that tests can replace the clocks of the runtime. */
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
   * Returns the clocks of the runtime.
   *
   * @return the time source of the runtime
   */
  static TimeSource system() {
    return new SystemTime();
  }
}
