package org.lentilsail.policy.health;

/**
 * Limits the attempts of requests that fail on every worker, so that they do not cause the
 * withdrawal of worker after worker.
 */
public final class AttemptLimit {
  /** Workers on which a request may fail before it is stopped. */
  public static final int MAX_FAILED_WORKERS = 3;

  private AttemptLimit() {}

  /**
   * Returns whether a request may go to another worker.
   *
   * @param failedWorkers number of different workers on which the request has failed
   * @return false when the request is to be stopped
   */
  public static boolean mayRetry(final int failedWorkers) {
    return failedWorkers < MAX_FAILED_WORKERS;
  }
}
