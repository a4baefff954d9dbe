package org.lentilsail.jobs;

import org.lentilsail.model.time.TimeSource;

/**
 * Tracks whether the store serves this daemon, from the outcome of its calls. While the store is
 * unavailable, new jobs are rejected immediately instead of after a timeout, except for a periodic
 * probe. Thread-safe.
 */
public final class StoreAvailability {
  /** Interval in ns between probes while the store is unavailable. */
  private static final long PROBE_INTERVAL_NANOS = 250_000_000L;

  private final TimeSource time;
  private boolean available = true;
  private long lastProbeAt;
  private long unavailableSince;

  /**
   * Creates a tracker that initially assumes that the store is available.
   *
   * @param time clock
   */
  public StoreAvailability(final TimeSource time) {
    this.time = time;
  }

  /** Records a call that the store has executed. */
  public synchronized void recordSuccess() {
    available = true;
  }

  /** Records a call that failed or was not answered. */
  public synchronized void recordFailure() {
    if (available) {
      unavailableSince = time.nanos();
      lastProbeAt = unavailableSince;
    }
    available = false;
  }

  /**
   * Returns whether a call may be attempted.
   *
   * @return true if the store is available or a probe is due
   */
  public synchronized boolean allowsCall() {
    final long now = time.nanos();
    if (!available && now - lastProbeAt < PROBE_INTERVAL_NANOS) {
      return false;
    }
    lastProbeAt = now;
    return true;
  }

  /**
   * Returns for how long the store has been unavailable.
   *
   * @return time in ns, 0 while the store is available
   */
  public synchronized long unavailableNanos() {
    return available ? 0 : time.nanos() - unavailableSince;
  }
}
