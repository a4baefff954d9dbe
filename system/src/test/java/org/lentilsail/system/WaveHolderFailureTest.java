package org.lentilsail.system;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards P1, P2 and P7 during a wave against failures of the control holder. */
class WaveHolderFailureTest {
  private static final String SPEC =
      "{\"pools\":[\"booking\",\"fees\",\"clubdesk\"],\"maxParallel\":3}";

  /** Longer than the lease of 5 s, so that another daemon has taken over. */
  private static final Duration PAST_LEASE = Duration.ofSeconds(7);

  /** Guards against budgets spent twice and work cut when control changes hands in a wave. */
  @Test
  void keepsBudgetsWhenHolderIsKilledOrFrozen() throws Exception {
    try (GuardedFleet guarded = new GuardedFleet()) {
      final FleetWatch watch = new FleetWatch(guarded);
      guarded.startWave(SPEC);
      guarded.awaitDone(1);
      replaceHolder(guarded);
      guarded.awaitDone(4);
      final String frozen = guarded.awaitHolder();
      guarded.load.disturb(frozen);
      guarded.fleet.entry(frozen).freeze();
      Thread.sleep(PAST_LEASE.toMillis());
      guarded.awaitHolder();
      guarded.fleet.entry(frozen).resume();
      guarded.awaitDone(8);
      replaceHolder(guarded);
      guarded.awaitWave("finished", GuardedFleet.LIMIT);
      watch.check();
      guarded.check();
    }
  }

  private static void replaceHolder(final GuardedFleet guarded) throws Exception {
    final String holder = guarded.awaitHolder();
    guarded.load.disturb(holder);
    guarded.fleet.entry(holder).kill();
    guarded.fleet.startEntry(holder);
  }
}
