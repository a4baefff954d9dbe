package org.lentilsail.policy.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Guards against retries that multiply the load on failing workers. */
class RetryBudgetTest {
  /** Guards against more retries than a tenth of the requests plus a burst of 10. */
  @Test
  void allowsTenthOfRequestsPlusBurst() {
    final RetryBudget budget = new RetryBudget();
    int retries = 0;
    for (int request = 0; request < 1_000; request++) {
      budget.recordRequest();
      while (budget.takeRetry()) {
        retries++;
      }
    }
    // The budget is full at the first request, so only the other 999 earn credit.
    assertThat(retries, is(10 + 999 / 10));
  }

  /** Guards against credit that accumulates beyond the burst while nothing is retried. */
  @Test
  void limitsTheCreditToTheBurst() {
    final RetryBudget budget = new RetryBudget();
    for (int request = 0; request < 10_000; request++) {
      budget.recordRequest();
    }
    int retries = 0;
    while (budget.takeRetry()) {
      retries++;
    }
    assertThat(retries, is(10));
  }
}
