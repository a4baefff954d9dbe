package org.lentilsail.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lentilsail.ManualExecutor;
import org.lentilsail.model.fleet.FleetCodec;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.peer.FakePeers;
import org.lentilsail.platform.FakePlatform;

/**
 * Guards against fleet documents that do not reach a daemon, go back, or travel whole, between
 * three daemons of a zone on the paused clock.
 */
class DeltaDistributionTest {
  private static final String KEY = "control/fleet/r1";

  private final ManualTimeSource time = new ManualTimeSource(0);
  private final ManualExecutor executor = new ManualExecutor(time);
  private final FakePeers peers = new FakePeers(time, executor);
  private final FakePlatform operator = new FakePlatform(time);
  private final List<TestDaemon> daemons = new ArrayList<>();

  /** Revision of the last write. */
  private long revision;

  @BeforeEach
  void start() throws Exception {
    for (final String id : List.of("a", "b", "c")) {
      daemons.add(
          new TestDaemon(id, "z1", operator.anotherClient(), peers, time, executor).start());
    }
    passTime(3_000);
    write(0);
    passTime(1_000);
  }

  /** Guards against whole documents between peers: 400 VMs take about 40 KB. */
  @Test
  void changeOfOneVmIsInForceForFewBytes() throws Exception {
    passTime(1_000);
    peers.takeBytes();
    passTime(1_000);
    final long quiet = peers.takeBytes();
    write(1);
    passTime(1_000);
    assertThat(peers.takeBytes() - quiet, is(lessThan(2_000L)));
    assertInForce(1);
  }

  /** Guards against differences that do harm when each arrives a second time, much later. */
  @Test
  void repeatedLateDifferencesDoNoHarm() throws Exception {
    peers.setRepeatAfter(Duration.ofMillis(730));
    for (int i = 1; i <= 12; i++) {
      peers.isolate("c", i % 4 == 2);
      write(i);
      passTime(90);
    }
    peers.isolate("c", false);
    passTime(2_000);
    assertInForce(12);
    for (final TestDaemon daemon : daemons) {
      assertThat(daemon.revisions, is(new ArrayList<>(new TreeSet<>(daemon.revisions))));
    }
  }

  /** Guards against a daemon that stays behind after a difference to a value it does not have. */
  @Test
  void daemonAsksForTheWholeValueWhenDifferenceDoesNotFit() throws Exception {
    peers.cut("a", "c", true);
    peers.cut("b", "c", true);
    daemons.get(2).platform.setDown(true);
    write(1);
    passTime(60);
    final long behind = daemons.get(2).revision();
    assertThat(behind, is(revision - 1));
    peers.cut("b", "c", false);
    final Delta misfit =
        new Delta(KEY, revision, revision + 1, JsonNodeFactory.instance.objectNode());
    final Changes changes = new Changes(false, behind, revision + 1, List.of(), List.of(misfit));
    daemons.get(1).network.send("c", new ChangeDeltas(changes));
    passTime(20);
    assertInForce(1);
  }

  /** Guards against differences for a daemon of a version that would take them for nothing. */
  @Test
  void requesterThatDoesNotReadDifferencesGetsWholeValues() throws Exception {
    write(1);
    passTime(500);
    final ChangesRequest request = new ChangesRequest(revision - 1, false);
    final CompletableFuture<Changes> future =
        daemons.get(1).network.request("a", request, Duration.ofSeconds(1), Changes.class);
    passTime(50);
    final Changes reply = future.join();
    assertThat(reply.deltas().isEmpty(), is(true));
    assertThat(reply.changes().size(), is(1));
  }

  private void write(final int step) throws Exception {
    revision =
        operator
            .compareAndSet(KEY, revision, FleetCodec.write(document(step)), Optional.empty())
            .get()
            .revision();
  }

  private static FleetDocument document(final int step) {
    final Map<String, VmEntry> vms = new HashMap<>();
    for (int i = 0; i < 400; i++) {
      final String vm = "vm-" + i;
      final long since = i == step ? 1_780_000_000_999L : 1_780_000_000_000L;
      vms.put(vm, VmEntry.inService(vm, "10.0.0.1:80", "z1", "r" + i / 4, "p", 1, since));
    }
    return new FleetDocument(1, "a", vms, Map.of());
  }

  private void passTime(final long millis) {
    for (long i = 0; i < millis / 10; i++) {
      executor.advance(Duration.ofMillis(10));
      operator.tick();
    }
  }

  private void assertInForce(final int step) {
    for (final TestDaemon daemon : daemons) {
      assertThat(
          daemon.network.self(), daemon.store.current().fleet().equals(document(step)), is(true));
      assertThat(daemon.store.current().fleetRevision(), is(revision));
    }
  }
}
