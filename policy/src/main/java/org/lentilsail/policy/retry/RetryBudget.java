package org.lentilsail.policy.retry;

/**
 * Limits the retries of a service to a share of its requests plus a burst, so that retries do not
 * multiply the load on failing workers.
 */
public final class RetryBudget {
  /** Credit that one request earns; a retry costs {@link #RETRY_COST}, so the share is 10%. */
  private static final int REQUEST_CREDIT = 1;

  /** Credit that one retry costs. */
  private static final int RETRY_COST = 10;

  /** Maximum credit, which allows a burst of 10 retries. */
  private static final int MAX_CREDIT = 10 * RETRY_COST;

  private int credit = MAX_CREDIT;

  /** Counts a request that is not a retry. */
  public synchronized void recordRequest() {
    credit = Math.min(MAX_CREDIT, credit + REQUEST_CREDIT);
  }

  /**
   * Takes the credit of one retry from the budget.
   *
   * @return false when the budget is exhausted and the request must not be retried
   */
  public synchronized boolean takeRetry() {
    final boolean result = credit >= RETRY_COST;
    if (result) {
      credit -= RETRY_COST;
    }
    return result;
  }
}
