package org.lentilsail.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against outcomes that claim more than the attempts confirm, and against second runs. */
class OutcomeRuleTest {
  /** Guards against a wrong outcome or an unsafe retry in any combination. */
  @ParameterizedTest
  @CsvSource({
    "NO_SLOT, false, false, false, NOT_RUN",
    "NO_SLOT, false, true, false, NOT_RUN",
    "NO_SLOT, true, true, false, UNKNOWN",
    "NO_SLOT, true, false, false, UNKNOWN",
    "NOT_SENT, false, false, true, NOT_RUN",
    "NOT_SENT, false, true, true, NOT_RUN",
    "NOT_SENT, true, true, true, UNKNOWN",
    "NOT_SENT, true, false, true, UNKNOWN",
    "PROVED_NOT_RUN, false, false, true, NOT_RUN",
    "PROVED_NOT_RUN, false, true, true, NOT_RUN",
    "PROVED_NOT_RUN, true, true, true, UNKNOWN",
    "PROVED_NOT_RUN, true, false, true, UNKNOWN",
    "LOST, false, false, false, UNKNOWN",
    "LOST, false, true, true, UNKNOWN",
    "LOST, true, true, true, UNKNOWN",
    "LOST, true, false, false, UNKNOWN",
    "ANSWERED, false, false, false, RAN",
    "ANSWERED, false, true, false, RAN",
    "ANSWERED, true, true, false, RAN",
    "ANSWERED, true, false, false, RAN"
  })
  void reportsOnlyConfirmedOutcomes(
      final AttemptStatus status,
      final boolean lostBefore,
      final boolean idempotent,
      final boolean retrySafe,
      final Outcome outcome) {
    assertThat(OutcomeRule.isRetrySafe(status, idempotent), is(retrySafe));
    assertThat(OutcomeRule.outcome(status, lostBefore), is(outcome));
  }
}
