package org.lentilsail.jobs;

import org.lentilsail.model.time.TimeSource;

/**
 * Tells whether the store serves this daemon, from the calls that were made. While it does not, new
 * jobs are refused at once instead of after a time-out, except for one probe from time to time.
 * Thread-safe.
 */
public final class StoreAvailability {
  /** Time in ns between probes while the store does not answer. */
  private static final long PROBE_NANOS = 250_000_000L;

  private final TimeSource time;
  private boolean available = true;
  private long lastProbeAt;
  private long lostAt;

  /**
   * Creates an object that takes the store as available.
   *
   * @param time clock
   */
  public StoreAvailability(final TimeSource time) {
    this.time = time;
  }

  /** Records a call that the store carried out. */
  public synchronized void recordSuccess() {
    available = true;
  }

  /** Records a call without a useful answer. */
  public synchronized void recordFailure() {
    if (available) {
      lostAt = time.nanos();
      lastProbeAt = lostAt;
    }
    available = false;
  }

  /**
   * Tells whether a call may be tried.
   *
   * @return whether the store is available or it is time for a probe
   */
  public synchronized boolean allowsCall() {
    final long now = time.nanos();
    if (!available && now - lastProbeAt < PROBE_NANOS) {
      return false;
    }
    lastProbeAt = now;
    return true;
  }

  /**
   * Tells how long the store has not been available.
   *
   * @return time in ns, 0 when it is available
   */
  public synchronized long unavailableNanos() {
    return available ? 0 : time.nanos() - lostAt;
  }
}
