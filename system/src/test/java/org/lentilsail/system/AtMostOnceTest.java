package org.lentilsail.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lentilsail.standin.load.Judge;
import org.lentilsail.standin.load.Try;
import org.lentilsail.standin.process.Await;

/** Guards P5 on real processes: a keyed request runs at most once whatever fails meanwhile. */
class AtMostOnceTest {
  private static final List<String> ZONES = List.of("recife", "fortaleza", "salvador");
  private static final int LEAST_TRIES = 10_000;

  /** Longer than the time to live of a lease (5 s). */
  private static final Duration FREEZE = Duration.ofMillis(6_500);

  private static final Duration OUTAGE = Duration.ofSeconds(4);

  /**
   * Guards against a second run of a key, an untrue outcome and a response of another request while
   * daemons are killed or frozen, a zone is cut off and the platform is down.
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
      awaitKeys(fleet);
      callers.start(32);
      fail(fleet);
      Await.until("10,000 tries", Duration.ofSeconds(60), () -> callers.count() >= LEAST_TRIES);
      final List<Try> tries = callers.stop();
      System.out.println(KeyedCallers.countByOutcome(tries));
      assertThat(Judge.faults(tries, Journals.read(fleet)), empty());
      assertThat(tries.size(), greaterThanOrEqualTo(LEAST_TRIES));
      assertThat(
          tries.stream().filter(attempt -> attempt.outcome().equals("ran")).count(),
          greaterThan(1_000L));
    }
  }

  /** Waits until each daemon owns a range of keys, so that each failure concerns some of them. */
  private static void awaitKeys(final LocalFleet fleet) throws InterruptedException {
    for (final int port : fleet.addresses().callerPorts().values()) {
      Await.until(
          "a range of keys on port " + port,
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

  private static void fail(final LocalFleet fleet) throws Exception {
    Thread.sleep(OUTAGE.toMillis());
    fleet.entry("e1").kill();
    Thread.sleep(1_000);
    fleet.startEntry("e1");
    fleet.entry("e2").freeze();
    Thread.sleep(FREEZE.toMillis());
    fleet.entry("e2").resume();
    fleet.links().cutPeers("salvador", true);
    fleet.links().cutPlatform("salvador", true);
    fleet.entry("e4").kill();
    Thread.sleep(OUTAGE.toMillis());
    fleet.startEntry("e4");
    fleet.links().cutPeers("salvador", false);
    fleet.links().cutPlatform("salvador", false);
    ZONES.forEach(zone -> fleet.links().cutPlatform(zone, true));
    fleet.entry("e1").kill();
    fleet.startEntry("e1");
    Thread.sleep(OUTAGE.toMillis());
    ZONES.forEach(zone -> fleet.links().cutPlatform(zone, false));
    fleet.awaitReady("e1");
  }
}
