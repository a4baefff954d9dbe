package org.lentilsail.idempotency;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import org.junit.jupiter.api.Test;

/** Guards against a second run of a keyed request (P5) and untrue refusals (P4). */
class AtMostOnceTest {
  private static final int HISTORIES = 60;
  private static final int STEPS = 1_000;
  private static final int MIN_TRIES = 10_000;

  /** Guards against two owners of a key in random histories of deaths, clocks and lost replies. */
  @Test
  void noKeyRunsTwice() {
    int tries = 0;
    int runs = 0;
    for (long seed = 1; seed <= HISTORIES; seed++) {
      final KeyOwnershipSimulation history = new KeyOwnershipSimulation(seed);
      try {
        for (int step = 0; step < STEPS; step++) {
          history.step();
        }
      } catch (final AssertionError error) {
        throw new AssertionError("seed " + seed + ": " + error.getMessage(), error);
      }
      tries += history.attempts;
      runs += history.runs;
    }
    assertThat(tries, greaterThanOrEqualTo(MIN_TRIES));
    assertThat("the histories must run many requests", runs, greaterThan(MIN_TRIES / 10));
  }
}
