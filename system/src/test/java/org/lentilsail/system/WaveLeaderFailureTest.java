package org.lentilsail.system;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards availability budgets, pools and running work during a maintenance wave against failures of
 * the leader of fleet control.
 */
class WaveLeaderFailureTest {
  private static final String SPEC =
      "{\"pools\":[\"booking\",\"fees\",\"clubdesk\"],\"maxParallel\":3}";

  /** Longer than the lease TTL of 5 s, so that another daemon has become the leader. */
  private static final Duration FREEZE_TIME = Duration.ofSeconds(7);

  /** Guards against exceeded budgets and interrupted work when the leader changes during a wave. */
  @Test
  void keepsBudgetsWhenLeaderIsKilledOrFrozen() throws Exception {
    try (FleetFixture fixture = new FleetFixture()) {
      final BudgetMonitor monitor = new BudgetMonitor(fixture);
      fixture.startWave(SPEC);
      fixture.awaitDoneVms(1);
      replaceLeader(fixture);
      fixture.awaitDoneVms(4);
      final String frozenLeader = fixture.awaitLeader();
      fixture.load.expectClosedConnections(frozenLeader);
      fixture.fleet.entry(frozenLeader).suspend();
      Thread.sleep(FREEZE_TIME.toMillis());
      fixture.awaitLeader();
      fixture.fleet.entry(frozenLeader).resume();
      fixture.awaitDoneVms(8);
      replaceLeader(fixture);
      fixture.awaitWave("finished", FleetFixture.WAIT_LIMIT);
      monitor.check();
      fixture.check();
    }
  }

  private static void replaceLeader(final FleetFixture fixture) throws Exception {
    final String leader = fixture.awaitLeader();
    fixture.load.expectClosedConnections(leader);
    fixture.fleet.entry(leader).kill();
    fixture.fleet.startEntry(leader);
  }
}
