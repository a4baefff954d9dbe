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
import org.lentilsail.standin.load.OutcomeChecker;
import org.lentilsail.standin.load.RequestAttempt;

/** Guards the property that a planned stop of an entry daemon interrupts no request. */
class GracefulStopTest {
  private static final List<String> ZONES = List.of("recife", "fortaleza", "salvador");

  /**
   * Run time in ms of a request. It is longer than the steps that a stopping daemon takes after its
   * own last request, so that forwarded requests are still running then.
   */
  private static final int RUN_MILLIS = 1_500;

  private static final Duration READINESS_POLL_INTERVAL = Duration.ofMillis(50);

  /**
   * Guards against requests that are interrupted when a daemon stops under load. Every daemon stops
   * once, which includes each dispatcher and each owner of a key range, while keyed requests that
   * its peers have forwarded to it are in flight.
   */
  @Test
  void stoppingEachDaemonInterruptsNoRequest() throws Exception {
    final DeploymentPlan plan =
        DeploymentPlan.spread(ZONES, 3, List.of("booking", "fees", "clubdesk"), 4);
    try (LocalFleet fleet = LocalFleet.start(plan)) {
      SampleRecords.apply(fleet);
      final Set<String> ready = ConcurrentHashMap.newKeySet();
      plan.entries().forEach(entry -> ready.add(entry.id()));
      final Thread loadBalancer = new Thread(() -> trackReadiness(fleet, ready), "balancer");
      loadBalancer.setDaemon(true);
      loadBalancer.start();
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
      final List<RequestAttempt> attempts = callers.stop();
      loadBalancer.interrupt();
      loadBalancer.join();
      check(attempts, Journals.read(fleet));
    }
  }

  /**
   * Checks the attempts. A request was interrupted when it ran or may have run and its caller did
   * not receive the response.
   */
  private static void check(final List<RequestAttempt> attempts, final List<JournalEntry> journal) {
    System.out.println(KeyedCallers.countByOutcome(attempts));
    final Set<String> started = journal.stream().map(JournalEntry::id).collect(Collectors.toSet());
    assertThat(
        "interrupted requests",
        attempts.stream()
            .filter(
                attempt ->
                    attempt.outcome().equals("none")
                        || attempt.outcome().equals("unknown") && started.contains(attempt.id()))
            .toList(),
        empty());
    assertThat(OutcomeChecker.contradictions(attempts, journal), empty());
    assertThat(
        attempts.stream().filter(attempt -> attempt.outcome().equals("ran")).count(),
        greaterThan(100L));
  }

  /** Tracks the daemons that report ready, as the platform's load balancer does. */
  private static void trackReadiness(final LocalFleet fleet, final Set<String> ready) {
    while (!Thread.currentThread().isInterrupted()) {
      for (final EntryPlan entry : fleet.plan().entries()) {
        if (isReady(fleet, entry.id())) {
          ready.add(entry.id());
        } else {
          ready.remove(entry.id());
        }
      }
      try {
        Thread.sleep(READINESS_POLL_INTERVAL.toMillis());
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
