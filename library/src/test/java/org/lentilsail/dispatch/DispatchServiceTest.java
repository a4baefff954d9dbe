package org.lentilsail.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lentilsail.config.ConfigurationSnapshot;
import org.lentilsail.config.ConfigurationView;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;
import org.lentilsail.model.record.Records;
import org.lentilsail.model.record.ServiceSpec;
import org.lentilsail.model.time.ManualTimeSource;

/** Guards against lost or doubly granted slots, also when the dispatcher of a service changes. */
class DispatchServiceTest implements ConfigurationView {
  private final ManualTimeSource time = new ManualTimeSource(1_000);
  private final FakePeerNetwork network = new FakePeerNetwork(time);

  /** The dispatch services by daemon. */
  private final Map<String, DispatchService> daemons = new TreeMap<>();

  private final List<Consumer<ConfigurationSnapshot>> listeners = new ArrayList<>();

  /** The VMs in the fleet document; initially two workers. */
  private final Map<String, VmEntry> vms = new HashMap<>();

  /** Daemon that is the dispatcher of the service while all daemons are live. */
  private String dispatcher;

  /** A daemon that is not the dispatcher of the service. */
  private String other;

  @BeforeEach
  void startThreeDaemons() {
    for (final String vm : List.of("w1", "w2")) {
      vms.put(vm, VmEntry.inService(vm, vm + ":1", "z", "k", "pool", 1, 0));
    }
    for (final String id : List.of("d1", "d2", "d3")) {
      start(id);
    }
    network.heartbeat();
    tick(10);
    final DispatcherSelector selector = new DispatcherSelector(network.nodes.get("d1"), "r");
    selector.refresh();
    dispatcher = selector.dispatcher("fees");
    other = dispatcher.equals("d1") ? "d2" : "d1";
  }

  private void start(final String id) {
    final FakePeerNetwork.Node node = network.new Node(id);
    daemons.put(
        id,
        new DispatchService(
            node, this, new DaemonLocation("z", "r"), time, new Random(1), network.tasks::add));
  }

  @Override
  public ConfigurationSnapshot current() {
    final ServiceSpec spec = new ServiceSpec("fees", "pool", "/", 30_000, 200, 256, Map.of());
    final Records records =
        new Records(Map.of(), Map.of("fees", spec), Map.of(), Map.of(), Map.of());
    return new ConfigurationSnapshot(
        1, records, new FleetDocument(1, "d1", vms, Map.of()), 1, Map.of());
  }

  @Override
  public void onChange(final Consumer<ConfigurationSnapshot> listener) {
    listeners.add(listener);
  }

  private void changeConfiguration() {
    listeners.forEach(listener -> listener.accept(current()));
    network.settle();
  }

  private void tick(final long millis) {
    for (long elapsed = 0; elapsed < millis; elapsed += 10) {
      time.advance(Duration.ofMillis(10));
      if (time.nanos() / 1_000_000 % 250 == 0) {
        network.heartbeat();
      }
      daemons.values().forEach(service -> network.tasks.add(service::tick));
      network.settle();
    }
  }

  private List<CompletableFuture<Slot>> acquire(final String daemon, final int count) {
    final List<CompletableFuture<Slot>> result = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      final long deadline = time.nanos() + Duration.ofSeconds(20).toNanos();
      result.add(
          daemons
              .get(daemon)
              .acquire(new SlotRequirements("fees", "/p", "", false, 0, deadline, Set.of())));
    }
    network.settle();
    return result;
  }

  private static long granted(final List<CompletableFuture<Slot>> slots) {
    return slots.stream().filter(slot -> slot.isDone() && !slot.isCompletedExceptionally()).count();
  }

  private int busy(final String daemon) {
    tick(1_010);
    return daemons.get(daemon).state().at("/dispatchers/fees/busySlots").asInt();
  }

  /** Guards against daemons that each count only their own use of the 8 slots of a worker. */
  @Test
  void sharesTheSlotsAmongTheDaemons() {
    assertThat(granted(acquire("d1", 6)) + granted(acquire("d2", 6)), is(12L));
    final List<CompletableFuture<Slot>> last = acquire("d3", 6);
    assertThat(granted(last), is(4L));
    last.get(0).join().release(SlotResult.OK, 5);
    network.settle();
    assertThat(granted(last), is(5L));
  }

  /** Guards against a slot that is released twice and then granted to two requests. */
  @Test
  void releasesSlotOnce() {
    final List<CompletableFuture<Slot>> slots = acquire(other, 17);
    slots.get(0).join().release(SlotResult.OK, 5);
    slots.get(0).join().release(SlotResult.OK, 5);
    network.settle();
    final List<CompletableFuture<Slot>> more = acquire(other, 1);
    assertThat(granted(more), is(0L));
  }

  /** Guards against a slot that is never released because its grant crossed the cancellation. */
  @Test
  void releasesGrantThatArrivesAfterTheCancellation() {
    final List<CompletableFuture<Slot>> slots = acquire(other, 17);
    slots.get(0).join().release(SlotResult.OK, 5);
    slots.get(16).cancel(true);
    network.settle();
    assertThat(granted(acquire(other, 2)), is(1L));
  }

  /**
   * Guards against a slot that is never released, whichever message of the exchange the
   * cancellation coincides with.
   */
  @Test
  void freesSlotHoweverTheCancellationIsTimed() {
    for (int steps = 0; steps < 12; steps++) {
      final long deadline = time.nanos() + Duration.ofSeconds(20).toNanos();
      final CompletableFuture<Slot> slot =
          daemons
              .get(other)
              .acquire(new SlotRequirements("fees", "/p", "", false, 0, deadline, Set.of()));
      for (int step = 0; step < steps && !network.tasks.isEmpty() && !slot.isDone(); step++) {
        network.tasks.poll().run();
      }
      if (!slot.cancel(true)) {
        slot.join().release(SlotResult.CANCELLED, 0);
      }
      network.settle();
    }
    assertThat(busy(dispatcher), is(0));
  }

  /** Guards against requests that wait forever at a dispatcher that is down. */
  @Test
  void redirectsRequestsWhenTheDispatcherIsUnresponsive() {
    final List<CompletableFuture<Slot>> first = acquire(other, 16);
    kill(dispatcher);
    tick(300);
    final List<CompletableFuture<Slot>> waiting = acquire(other, 1);
    tick(250);
    assertThat(granted(waiting), is(0L));
    first.get(0).join().release(SlotResult.OK, 5);
    tick(10);
    assertThat(granted(waiting), is(1L));
  }

  /** Guards against a new dispatcher that grants again the slots that its predecessor granted. */
  @Test
  void learnsSlotsInUseFromReports() {
    acquire(other, 16);
    kill(dispatcher);
    tick(800);
    final List<CompletableFuture<Slot>> more = acquire(other, 8);
    assertThat(granted(more), is(0L));
  }

  private void kill(final String daemon) {
    daemons.remove(daemon);
    network.nodes.keySet().forEach(peer -> network.cutBetween(daemon, peer));
  }

  /** Guards against slots that stay in use after the daemon that held them has died. */
  @Test
  void freesSlotsOfDeadDaemon() {
    acquire(other, 16);
    kill(other);
    tick(1_300);
    assertThat(granted(acquire(dispatcher, 16)), is(16L));
  }

  /** Guards against slots of an earlier incarnation that stay in use after a fast restart. */
  @Test
  void freesSlotsOfRestartedDaemon() {
    acquire(other, 16);
    daemons.remove(other);
    start(other);
    network.nodes.get(other).incarnation = 2;
    network.heartbeat();
    tick(20);
    assertThat(granted(acquire(dispatcher, 16)), is(16L));
  }

  /** Guards against slots that are counted twice or not at all after a partition. */
  @Test
  void countsSlotsOnceAfterPartition() {
    final List<CompletableFuture<Slot>> before = acquire(other, 4);
    network
        .nodes
        .keySet()
        .forEach(
            peer -> {
              if (!peer.equals(other)) {
                network.cutBetween(other, peer);
              }
            });
    tick(1_500);
    final List<CompletableFuture<Slot>> during = acquire(other, 4);
    assertThat(granted(during), is(4L));
    assertThat(granted(acquire(dispatcher, 16)), is(16L));
    network.cut.clear();
    tick(2_500);
    assertThat(busy(dispatcher), is(24));
    before.forEach(slot -> slot.join().release(SlotResult.OK, 5));
    during.forEach(slot -> slot.join().release(SlotResult.OK, 5));
    network.settle();
    assertThat(busy(dispatcher), is(16));
  }

  /** Guards against a lost release that leaves a slot in use forever. */
  @Test
  void recoversSlotsWhoseReleaseWasLost() {
    final List<CompletableFuture<Slot>> slots = acquire(other, 16);
    network.cut.add(other + '>' + dispatcher);
    slots.forEach(slot -> slot.join().release(SlotResult.OK, 5));
    network.settle();
    network.cut.clear();
    tick(3_200);
    assertThat(busy(dispatcher), is(0));
  }

  /** Guards against a slot request that is lost with its message. */
  @Test
  void repeatsSlotRequestThatWasLost() {
    network.cut.add(other + '>' + dispatcher);
    final List<CompletableFuture<Slot>> slots = acquire(other, 1);
    network.cut.clear();
    tick(600);
    assertThat(granted(slots), is(1L));
  }

  /** Guards against requests to a draining VM, and against more than one to a verifying VM. */
  @Test
  void followsThePhasesOfTheVms() {
    vms.put("w1", vms.get("w1").withPhase(VmPhase.DRAINING, 0));
    vms.put("w2", vms.get("w2").withPhase(VmPhase.VERIFYING, 0));
    changeConfiguration();
    assertThat(granted(acquire(other, 5)), is(1L));
    vms.put("w2", vms.get("w2").withPhase(VmPhase.IN_SERVICE, 0));
    changeConfiguration();
    daemons.values().forEach(service -> service.setDrainNotices(Set.of("w2")));
    network.settle();
    assertThat(granted(acquire(other, 5)), lessThanOrEqualTo(0L));
  }

  /** Guards against requests that wait without any worker, and against a wrong error code. */
  @Test
  void refusesWithCodeWithoutWorkers() {
    vms.clear();
    changeConfiguration();
    final CompletableFuture<Slot> slot = acquire(other, 1).get(0);
    final CompletionException failure = assertThrows(CompletionException.class, slot::join);
    assertThat(((LentilsailException) failure.getCause()).code(), is(ErrorCode.NO_WORKER));
  }

  /** Guards against load and worker health that are missing from the report to the leader. */
  @Test
  void reportsLoadAndUnhealthyVms() {
    for (int i = 0; i < 12; i++) {
      acquire(other, 1)
          .get(0)
          .thenAccept(
              slot ->
                  slot.release(
                      slot.vm().equals("w1") ? SlotResult.CONNECTION_FAILED : SlotResult.OK, 1));
      network.settle();
    }
    acquire(other, 3);
    tick(1_010);
    assertThat(daemons.get(dispatcher).report().loads().get("fees").busySlots(), is(3));
    assertThat(daemons.get(dispatcher).report().unhealthyVms(), is(Set.of("w1")));
    assertThat(daemons.get(other).report().loads().isEmpty(), is(true));
  }
}
