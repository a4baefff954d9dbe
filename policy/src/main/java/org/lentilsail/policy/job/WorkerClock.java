package org.lentilsail.policy.job;

/** Estimates the clock of a worker from its last response; confined to the control thread. */
public final class WorkerClock {
  /**
   * Minimum rate of a worker's clock relative to the local clock; the platform allows a drift of
   * 2%.
   */
  private static final double MIN_RATE = 0.98;

  private static final double NANOS_PER_MILLI = 1_000_000.0;

  private long readMillis;
  private long readAt;
  private boolean known;

  /**
   * Records a reading.
   *
   * @param workerMillis clock of the worker in ms
   * @param now monotonic time in ns at which the response arrived
   */
  public void recordReading(final long workerMillis, final long now) {
    if (!known || workerMillis > readMillis) {
      readMillis = workerMillis;
      readAt = now;
      known = true;
    }
  }

  /** Discards the readings after a restart of the worker. */
  public void reset() {
    known = false;
  }

  /**
   * Returns whether a reading has been recorded.
   *
   * @return whether the clock can be estimated
   */
  public boolean isKnown() {
    return known;
  }

  /**
   * Returns the estimated clock.
   *
   * @param now monotonic time in ns
   * @return clock of the worker in ms
   */
  public long estimate(final long now) {
    return readMillis + (long) ((now - readAt) / NANOS_PER_MILLI);
  }

  /**
   * Returns a lower bound of the clock, which allows for the maximum drift.
   *
   * @param now monotonic time in ns
   * @return time in ms that the clock of the worker has certainly reached
   */
  public long lowerBound(final long now) {
    return readMillis + (long) ((now - readAt) / NANOS_PER_MILLI * MIN_RATE);
  }
}
