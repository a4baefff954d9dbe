package org.lentilsail.standin.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.standin.backend.JournalEntry;
import org.lentilsail.standin.backend.RunState;

/** Guards against a check that misses a contradiction between outcomes and runs. */
class OutcomeCheckerTest {
  /** Guards against contradictions that are missed and correct outcomes that are reported. */
  @ParameterizedTest
  @CsvSource({
    "ran, 200, true, 1, 0",
    "ran, 500, false, 1, 0",
    "ran, 200, true, 0, 1",
    "ran, 200, false, 1, 1",
    "not-run, 503, false, 0, 0",
    "not-run, 503, false, 1, 1",
    "unknown, 504, false, 0, 0",
    "unknown, 504, false, 1, 0",
    "unknown, 504, false, 2, 1",
    "none, 0, false, 3, 1"
  })
  void findsContradictions(
      final String outcome,
      final int status,
      final boolean intact,
      final int runs,
      final int faults) {
    final JournalEntry run = new JournalEntry(0, "key", "id", 1, RunState.FINISHED);
    assertThat(
        OutcomeChecker.contradictions(
                List.of(new RequestAttempt("id", "key", outcome, status, intact)),
                Collections.nCopies(runs, run))
            .size(),
        is(faults));
  }

  /** Guards against reporting a rejected attempt although a later one with the same key ran. */
  @Test
  void onlyLastOutcomeCounts() {
    final RequestAttempt rejected = new RequestAttempt("a", "k", "not-run", 503, false);
    final RequestAttempt ran = new RequestAttempt("a", "k", "ran", 200, true);
    final List<JournalEntry> journal = List.of(new JournalEntry(1, "k", "a", 1, RunState.FINISHED));
    assertThat(OutcomeChecker.contradictions(List.of(rejected, ran), journal), empty());
    assertThat(
        OutcomeChecker.contradictions(List.of(ran, rejected), journal),
        contains("request a was reported as not-run and ran"));
  }
}
