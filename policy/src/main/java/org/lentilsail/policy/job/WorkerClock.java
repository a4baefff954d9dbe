package org.lentilsail.policy.job;

/** Estimates the clock of a worker from its last answer; owned by the control thread. */
public final class WorkerClock {
  /** Slowest rate of a worker's clock against ours; the platform allows a drift of 2%. */
  private static final double SLOWEST_RATE = 0.98;

  private static final double NANOS_PER_MILLI = 1_000_000.0;

  private long readMillis;
  private long readAt;
  private boolean known;

  /**
   * Records a reading.
   *
   * @param workerMillis clock of the worker in ms
   * @param now monotonic time in ns at which the answer arrived
   */
  public void recordReading(final long workerMillis, final long now) {
    if (!known || workerMillis > readMillis) {
      readMillis = workerMillis;
      readAt = now;
      known = true;
    }
  }

  /** Forgets the readings, because the worker has started anew. */
  public void reset() {
    known = false;
  }

  /**
   * Tells whether there was a reading.
   *
   * @return whether the clock can be estimated
   */
  public boolean isKnown() {
    return known;
  }

  /**
   * Returns the expected clock.
   *
   * @param now monotonic time in ns
   * @return clock of the worker in ms
   */
  public long estimate(final long now) {
    return readMillis + (long) ((now - readAt) / NANOS_PER_MILLI);
  }

  /**
   * Returns a time that the clock has surely reached.
   *
   * @param now monotonic time in ns
   * @return clock of the worker in ms, at least
   */
  public long lowerBound(final long now) {
    return readMillis + (long) ((now - readAt) / NANOS_PER_MILLI * SLOWEST_RATE);
  }
}
