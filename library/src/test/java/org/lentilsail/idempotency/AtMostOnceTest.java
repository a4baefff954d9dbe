package org.lentilsail.idempotency;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import org.junit.jupiter.api.Test;

/** Guards against a second run of a keyed request and error responses with a wrong outcome. */
class AtMostOnceTest {
  private static final int SIMULATIONS = 60;
  private static final int STEPS = 1_000;
  private static final int MIN_ATTEMPTS = 10_000;

  /** Guards against two owners of a key after random crashes, clock errors and lost replies. */
  @Test
  void noKeyRunsTwice() {
    int attempts = 0;
    int runs = 0;
    for (long seed = 1; seed <= SIMULATIONS; seed++) {
      final KeyOwnershipSimulation simulation = new KeyOwnershipSimulation(seed);
      try {
        for (int step = 0; step < STEPS; step++) {
          simulation.step();
        }
      } catch (final AssertionError error) {
        throw new AssertionError("seed " + seed + ": " + error.getMessage(), error);
      }
      attempts += simulation.attempts;
      runs += simulation.runs;
    }
    assertThat(attempts, greaterThanOrEqualTo(MIN_ATTEMPTS));
    assertThat("the simulations must run many requests", runs, greaterThan(MIN_ATTEMPTS / 10));
  }
}
