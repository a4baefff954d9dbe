package org.lentilsail.system;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards P1, P2 and P7 during a wave against a lost platform or zone. */
class WavePartitionTest {
  private static final String SPEC =
      "{\"pools\":[\"booking\",\"fees\",\"clubdesk\"],\"maxParallel\":3}";

  /** Longer than the lease of 5 s. */
  private static final Duration PAST_LEASE = Duration.ofSeconds(7);

  /** Guards against budgets exceeded while the platform or a zone is out of reach in a wave. */
  @Test
  void keepsBudgetsWithoutPlatformAndWithoutZone() throws Exception {
    try (FleetFixture guarded = new FleetFixture()) {
      final BudgetMonitor watch = new BudgetMonitor(guarded);
      guarded.startWave(SPEC);
      guarded.awaitDoneVms(2);
      guarded.platformFault("*", "down");
      Thread.sleep(PAST_LEASE.toMillis());
      guarded.platformFault("*", "ok");
      guarded.awaitDoneVms(5);
      guarded.fleet.links().cutPeers("salvador", true);
      guarded.fleet.links().cutPlatform("salvador", true);
      Thread.sleep(PAST_LEASE.toMillis());
      guarded.fleet.links().cutPlatform("salvador", false);
      guarded.fleet.links().cutPeers("salvador", false);
      guarded.awaitWave("finished", FleetFixture.WAIT_LIMIT);
      watch.check();
      guarded.check();
    }
  }
}
