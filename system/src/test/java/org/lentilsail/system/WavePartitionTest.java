package org.lentilsail.system;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards availability budgets, pools and running work during a maintenance wave against an
 * unavailable platform and an unreachable zone.
 */
class WavePartitionTest {
  private static final String SPEC =
      "{\"pools\":[\"booking\",\"fees\",\"clubdesk\"],\"maxParallel\":3}";

  /** Longer than the lease TTL of 5 s, so that the leases of unreachable daemons expire. */
  private static final Duration OUTAGE_TIME = Duration.ofSeconds(7);

  /** Guards against exceeded budgets while the platform or a zone is unreachable. */
  @Test
  void keepsBudgetsWithoutPlatformAndWithoutZone() throws Exception {
    try (FleetFixture fixture = new FleetFixture()) {
      final BudgetMonitor monitor = new BudgetMonitor(fixture);
      fixture.startWave(SPEC);
      fixture.awaitDoneVms(2);
      fixture.platformFault("*", "down");
      Thread.sleep(OUTAGE_TIME.toMillis());
      fixture.platformFault("*", "ok");
      fixture.awaitDoneVms(5);
      fixture.fleet.links().cutPeers("salvador", true);
      fixture.fleet.links().cutPlatform("salvador", true);
      Thread.sleep(OUTAGE_TIME.toMillis());
      fixture.fleet.links().cutPlatform("salvador", false);
      fixture.fleet.links().cutPeers("salvador", false);
      fixture.awaitWave("finished", FleetFixture.WAIT_LIMIT);
      monitor.check();
      fixture.check();
    }
  }
}
