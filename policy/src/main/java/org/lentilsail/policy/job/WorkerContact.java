package org.lentilsail.policy.job;

/** Whether a worker responds to calls; confined to the control thread. */
public final class WorkerContact {
  private boolean responding;
  private long unresponsiveSince = Long.MAX_VALUE;

  /**
   * Returns whether the worker responds.
   *
   * @return false from the first call without a response until the next response
   */
  public boolean isResponding() {
    return responding;
  }

  /** Records a response of the worker. */
  public void markResponding() {
    responding = true;
  }

  /**
   * Records that the worker did not respond to a call.
   *
   * @param now monotonic time in ns
   */
  public void markUnresponsive(final long now) {
    if (responding || unresponsiveSince == Long.MAX_VALUE) {
      unresponsiveSince = now;
    }
    responding = false;
  }

  /**
   * Returns since when the worker has not responded.
   *
   * @return monotonic time in ns; {@code Long.MAX_VALUE} before the first call without a response
   */
  public long unresponsiveSince() {
    return unresponsiveSince;
  }
}
