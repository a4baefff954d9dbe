package org.lentilsail.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.lentilsail.standin.backend.JournalEntry;
import org.lentilsail.standin.load.Judge;
import org.lentilsail.standin.load.Try;

/** Guards P7 on real processes: a planned stop of an entry daemon cuts off no request. */
class GracefulStopTest {
  private static final List<String> ZONES = List.of("recife", "fortaleza", "salvador");

  /** Run time in ms that outlasts the steps of a stop which follow the last own request. */
  private static final int RUN_MILLIS = 1_500;

  private static final Duration BALANCER_STEP = Duration.ofMillis(50);

  /**
   * Guards against requests that are cut off when a daemon stops under load. Every daemon stops
   * once, so each dispatcher and each owner of keys is among them, and the keyed requests that its
   * peers have forwarded to it are in flight.
   */
  @Test
  void stoppingEachDaemonInTurnCutsNoRequest() throws Exception {
    final DeploymentPlan plan =
        DeploymentPlan.spread(ZONES, 3, List.of("booking", "fees", "clubdesk"), 4);
    try (LocalFleet fleet = LocalFleet.start(plan)) {
      SampleRecords.apply(fleet);
      final Set<String> ready = ConcurrentHashMap.newKeySet();
      plan.entries().forEach(entry -> ready.add(entry.id()));
      final Thread balancer = new Thread(() -> follow(fleet, ready), "balancer");
      balancer.setDaemon(true);
      balancer.start();
      final KeyedCallers callers =
          new KeyedCallers(
              fleet.httpClient(),
              () -> ready.stream().map(fleet.addresses().callerPorts()::get).toList(),
              1,
              RUN_MILLIS,
              Duration.ofSeconds(20));
      callers.start(24);
      for (final EntryPlan entry : plan.entries()) {
        Thread.sleep(2 * RUN_MILLIS);
        assertThat("exit code of " + entry.id(), fleet.entry(entry.id()).stop(), is(0));
        fleet.startEntry(entry.id());
        fleet.awaitReady(entry.id());
      }
      final List<Try> tries = callers.stop();
      balancer.interrupt();
      balancer.join();
      judge(tries, Journals.read(fleet));
    }
  }

  /** A request is cut off when it has run or may have run and its caller got no response of it. */
  private static void judge(final List<Try> tries, final List<JournalEntry> journal) {
    System.out.println(KeyedCallers.countByOutcome(tries));
    final Set<String> started = journal.stream().map(JournalEntry::id).collect(Collectors.toSet());
    assertThat(
        "requests cut off",
        tries.stream()
            .filter(
                attempt ->
                    attempt.outcome().equals("none")
                        || attempt.outcome().equals("unknown") && started.contains(attempt.id()))
            .toList(),
        empty());
    assertThat(Judge.faults(tries, journal), empty());
    assertThat(
        tries.stream().filter(attempt -> attempt.outcome().equals("ran")).count(),
        greaterThan(100L));
  }

  /** Sends requests only to daemons that report ready, as the platform's balancer does. */
  private static void follow(final LocalFleet fleet, final Set<String> ready) {
    while (!Thread.currentThread().isInterrupted()) {
      for (final EntryPlan entry : fleet.plan().entries()) {
        if (isReady(fleet, entry.id())) {
          ready.add(entry.id());
        } else {
          ready.remove(entry.id());
        }
      }
      try {
        Thread.sleep(BALANCER_STEP.toMillis());
      } catch (final InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static boolean isReady(final LocalFleet fleet, final String id) {
    boolean result;
    try {
      result = fleet.httpClient().status(fleet.addresses().adminPorts().get(id), "/ready") == 200;
    } catch (final RuntimeException error) {
      result = false;
    }
    return result;
  }
}
