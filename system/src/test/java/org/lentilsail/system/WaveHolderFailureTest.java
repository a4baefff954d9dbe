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
  void keepsBudgetsWhenLeaderIsKilledOrFrozen() throws Exception {
    try (FleetFixture guarded = new FleetFixture()) {
      final BudgetMonitor watch = new BudgetMonitor(guarded);
      guarded.startWave(SPEC);
      guarded.awaitDoneVms(1);
      replaceHolder(guarded);
      guarded.awaitDoneVms(4);
      final String frozen = guarded.awaitLeader();
      guarded.load.expectClosedConnections(frozen);
      guarded.fleet.entry(frozen).freeze();
      Thread.sleep(PAST_LEASE.toMillis());
      guarded.awaitLeader();
      guarded.fleet.entry(frozen).resume();
      guarded.awaitDoneVms(8);
      replaceHolder(guarded);
      guarded.awaitWave("finished", FleetFixture.WAIT_LIMIT);
      watch.check();
      guarded.check();
    }
  }

  private static void replaceHolder(final FleetFixture guarded) throws Exception {
    final String holder = guarded.awaitLeader();
    guarded.load.expectClosedConnections(holder);
    guarded.fleet.entry(holder).kill();
    guarded.fleet.startEntry(holder);
  }
}
