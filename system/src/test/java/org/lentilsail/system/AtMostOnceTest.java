package org.lentilsail.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lentilsail.standin.load.OutcomeChecker;
import org.lentilsail.standin.load.RequestAttempt;
import org.lentilsail.standin.process.Await;

/**
 * Guards the property that a request with an idempotency key runs at most once, on real processes
 * and under failures of daemons, zones and the platform.
 */
class AtMostOnceTest {
  private static final List<String> ZONES = List.of("recife", "fortaleza", "salvador");
  private static final int MIN_ATTEMPTS = 10_000;

  /** Longer than the lease TTL of 5 s, so that the leases of a frozen daemon expire. */
  private static final Duration FREEZE_TIME = Duration.ofMillis(6_500);

  private static final Duration OUTAGE_TIME = Duration.ofSeconds(4);

  /**
   * Guards against a second run of a key, a false outcome and the response of another request while
   * daemons are killed or frozen, a zone is unreachable and the platform is down.
   */
  @Test
  void keysRunAtMostOnceUnderFailuresOfDaemonsZonesAndPlatform() throws Exception {
    final DeploymentPlan plan =
        DeploymentPlan.spread(ZONES, 4, List.of("booking", "fees", "clubdesk"), 4);
    try (LocalFleet fleet = LocalFleet.start(plan)) {
      SampleRecords.apply(fleet);
      final List<Integer> ports = List.copyOf(fleet.addresses().callerPorts().values());
      final KeyedCallers callers =
          new KeyedCallers(fleet.httpClient(), () -> ports, 4, 5, Duration.ofSeconds(2));
      awaitKeyRanges(fleet);
      callers.start(32);
      injectFailures(fleet);
      Await.until("10,000 attempts", Duration.ofSeconds(60), () -> callers.count() >= MIN_ATTEMPTS);
      final List<RequestAttempt> attempts = callers.stop();
      System.out.println(KeyedCallers.countByOutcome(attempts));
      assertThat(OutcomeChecker.contradictions(attempts, Journals.read(fleet)), empty());
      assertThat(attempts.size(), greaterThanOrEqualTo(MIN_ATTEMPTS));
      assertThat(
          attempts.stream().filter(attempt -> attempt.outcome().equals("ran")).count(),
          greaterThan(1_000L));
    }
  }

  /** Waits until each daemon owns a key range, so that each failure affects owned keys. */
  private static void awaitKeyRanges(final LocalFleet fleet) throws InterruptedException {
    for (final int port : fleet.addresses().callerPorts().values()) {
      Await.until(
          "a key range of the daemon on port " + port,
          Duration.ofSeconds(40),
          () ->
              fleet
                      .httpClient()
                      .send(
                          port,
                          "POST",
                          "/lentilsail/keys?count=1",
                          List.of(),
                          "",
                          Duration.ofSeconds(2))
                      .status()
                  == 200);
    }
  }

  private static void injectFailures(final LocalFleet fleet) throws Exception {
    Thread.sleep(OUTAGE_TIME.toMillis());
    fleet.entry("e1").kill();
    Thread.sleep(1_000);
    fleet.startEntry("e1");
    fleet.entry("e2").suspend();
    Thread.sleep(FREEZE_TIME.toMillis());
    fleet.entry("e2").resume();
    fleet.links().cutPeers("salvador", true);
    fleet.links().cutPlatform("salvador", true);
    fleet.entry("e4").kill();
    Thread.sleep(OUTAGE_TIME.toMillis());
    fleet.startEntry("e4");
    fleet.links().cutPeers("salvador", false);
    fleet.links().cutPlatform("salvador", false);
    ZONES.forEach(zone -> fleet.links().cutPlatform(zone, true));
    fleet.entry("e1").kill();
    fleet.startEntry("e1");
    Thread.sleep(OUTAGE_TIME.toMillis());
    ZONES.forEach(zone -> fleet.links().cutPlatform(zone, false));
    fleet.awaitReady("e1");
  }
}
