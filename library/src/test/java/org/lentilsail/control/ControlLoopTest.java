package org.lentilsail.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lentilsail.ManualExecutor;
import org.lentilsail.model.fleet.DaemonReport;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.fleet.VmPhase;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.platform.FakePlatform;
import org.lentilsail.platform.LeaseListener;
import org.lentilsail.platform.LeaseManager;
import org.lentilsail.platform.VmReport;
import org.lentilsail.policy.capacity.PolicyWeights;

/** Guards against two leaders that both act, and against lost writes and actions. */
class ControlLoopTest {
  private static final String KEY = "control/fleet/r";

  private final ManualTimeSource time = new ManualTimeSource(0);
  private final FakePlatform platform = new FakePlatform(time);
  private final ManualExecutor executor = new ManualExecutor(time);
  private final FakeConfiguration configuration = new FakeConfiguration();
  private final ControlLoop first = loop("e1", platform, executor);

  private ControlLoop loop(
      final String id, final FakePlatform client, final ManualExecutor thread) {
    final LeaseListener ignore =
        new LeaseListener() {
          @Override
          public void leaseAcquired(final String lease) {}

          @Override
          public void leaseLost(final String lease) {}
        };
    final LeaseManager leaseManager =
        new LeaseManager(
            client, time, thread, Duration.ofSeconds(5), Duration.ofSeconds(1), ignore);
    leaseManager.start();
    final ControlLoop result =
        new ControlLoop(
            new FakeNetwork(id),
            "r",
            client,
            new JsonFormat(),
            leaseManager::lease,
            configuration,
            PolicyWeights.equal(),
            (address, path) -> CompletableFuture.completedFuture(true),
            time,
            thread);
    result.start();
    return result;
  }

  @BeforeEach
  void fleetInService() {
    platform.setVms(List.of(vm("a1"), vm("a2")));
    configuration.setHolds();
    run(executor, first, 10);
    assertThat(phase("a1"), is(VmPhase.IN_SERVICE));
  }

  private static VmReport vm(final String name) {
    return new VmReport(name, "worker", "127.0.0.1:1", "z1", "r1", "a", "live", false, 0, 1);
  }

  /** Advances the clock while a daemon in the zone of the VMs reports every second. */
  private void run(final ManualExecutor thread, final ControlLoop loop, final int seconds) {
    for (int i = 0; i < seconds; i++) {
      loop.receive(new DaemonReport("e1", "z1", 1_000_000, Map.of(), Map.of(), Map.of(), Set.of()));
      thread.advance(Duration.ofSeconds(1));
    }
  }

  private FleetDocument document() {
    return new JsonFormat().read(platform.anotherClient().get(KEY).join().orElseThrow().value());
  }

  private VmPhase phase(final String vm) {
    return document().vms().get(vm).phase();
  }

  @Test
  void writesTheDocumentAndThenActs() {
    configuration.setHolds("a1");
    run(executor, first, 2);
    assertThat(phase("a1"), is(VmPhase.DRAINING));
    assertThat(platform.operations(), hasItem("a1 drain 1"));
  }

  @Test
  void anUnchangedFleetIsNotWritten() {
    final long before = platform.get(KEY).join().orElseThrow().revision();
    run(executor, first, 10);
    assertThat(platform.get(KEY).join().orElseThrow().revision(), is(before));
  }

  @Test
  void pausedLeaderChangesNothing() {
    executor.pause();
    final FakePlatform client = platform.anotherClient();
    final ManualExecutor thread = new ManualExecutor(time);
    final ControlLoop second = loop("e2", client, thread);
    run(thread, second, 10);
    assertThat(second.holdsControl(), is(true));
    assertThat(first.holdsControl(), is(false));
    final int operations = platform.operations().size();
    configuration.setHolds("a1");
    executor.resume();
    assertThat(document().holder(), is("e2"));
    assertThat(document().epoch(), is(2L));
    assertThat(platform.operations().size(), is(operations));
  }

  @Test
  void writeDelayedUntilAfterLeaderChangeHasNoEffect() {
    platform.setDelayWrites(true);
    configuration.setHolds("a1");
    run(executor, first, 3);
    executor.pause();
    final ManualExecutor thread = new ManualExecutor(time);
    final ControlLoop second = loop("e2", platform.anotherClient(), thread);
    configuration.setHolds();
    run(thread, second, 10);
    platform.applyDelayedWrites();
    assertThat(document().holder(), is("e2"));
    assertThat(phase("a1"), is(VmPhase.IN_SERVICE));
    assertThat(platform.operations(), not(hasItem("a1 drain 1")));
  }

  @Test
  void onlyOneOfTwoCompetingDaemonsBecomesLeader() {
    platform.setDown(true);
    executor.advance(Duration.ofSeconds(6));
    final ControlLoop second = loop("e2", platform.anotherClient(), executor);
    platform.setDown(false);
    run(executor, first, 10);
    assertThat(first.holdsControl() != second.holdsControl(), is(true));
    assertThat(document().holder(), is(first.holdsControl() ? "e1" : "e2"));
    assertThat(document().epoch(), is(2L));
  }

  @Test
  void controlStopsWithoutThePlatformAndContinuesAfterwards() {
    platform.setDown(true);
    executor.advance(Duration.ofSeconds(5));
    assertThat(first.holdsControl(), is(false));
    final int operations = platform.operations().size();
    configuration.setHolds("a1");
    run(executor, first, 10);
    assertThat(platform.operations().size(), is(operations));
    platform.setDown(false);
    run(executor, first, 10);
    assertThat(platform.operations(), hasItem("a1 drain 1"));
  }

  @Test
  void writeWhoseReplyIsLostIsFoundAndActionsAreExecuted() {
    platform.setLoseReplies(true);
    configuration.setHolds("a1");
    executor.advance(Duration.ofMillis(300));
    assertThat(phase("a1"), is(VmPhase.DRAINING));
    platform.setLoseReplies(false);
    final long epoch = document().epoch();
    run(executor, first, 3);
    assertThat(document().epoch(), is(epoch));
    assertThat(platform.operations(), hasItem("a1 drain 1"));
  }

  @Test
  void nextLeaderRepeatsLostActions() {
    platform.setLoseReplies(true);
    configuration.setHolds("a1");
    executor.advance(Duration.ofMillis(100));
    executor.advance(Duration.ofMillis(250));
    executor.pause();
    assertThat(phase("a1"), is(VmPhase.DRAINING));
    final FakePlatform client = platform.anotherClient();
    final ManualExecutor thread = new ManualExecutor(time);
    run(thread, loop("e2", client, thread), 10);
    assertThat(client.operations(), hasItem("a1 drain 1"));
  }

  @Test
  void probesBringVmsWithoutRequestsIntoService() {
    configuration.setHolds("a1");
    run(executor, first, 3);
    platform.setVms(List.of(drained("a1"), vm("a2")));
    run(executor, first, 3);
    assertThat(phase("a1"), is(VmPhase.HELD));
    configuration.setHolds();
    platform.setVms(List.of(vm("a1"), vm("a2")));
    run(executor, first, 6);
    assertThat(phase("a1"), is(VmPhase.IN_SERVICE));
  }

  private static VmReport drained(final String name) {
    return new VmReport(name, "worker", "127.0.0.1:1", "z1", "r1", "a", "live", true, 0, 1);
  }

  @Test
  void reporterNotifiesLeaderAtOnceThatDrainIsDone() {
    final FakeNetwork network = new FakeNetwork("e9");
    final Map<String, Integer> inFlight = new java.util.HashMap<>(Map.of("a1", 2));
    final DaemonReporter reporter =
        new DaemonReporter(
            network,
            configuration,
            () -> new DaemonReport("e9", "z1", 1, Map.of(), inFlight, Map.of(), Set.of()),
            first,
            time);
    reporter.tick();
    assertThat(network.sent, is(empty()));
    configuration.set(
        configuration.current().records(), new FleetDocument(1, "e1", Map.of(), Map.of()));
    reporter.tick();
    time.advance(Duration.ofMillis(100));
    reporter.tick();
    assertThat(network.sent, is(List.of("e1 {a1=2}")));
    inFlight.clear();
    reporter.tick();
    assertThat(network.sent, is(List.of("e1 {a1=2}", "e1 {}")));
    time.advance(Duration.ofSeconds(1));
    reporter.tick();
    assertThat(network.sent.size(), is(3));
  }
}
