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
 * Guards against fleet documents that do not reach a daemon, revert, or are sent as full values,
 * between three daemons of a zone on a manual clock.
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
    advance(3_000);
    write(0);
    advance(1_000);
  }

  /** Guards against full documents between peers: 400 VMs take about 40 KB. */
  @Test
  void changeOfOneVmNeedsFewBytes() throws Exception {
    advance(1_000);
    peers.takeBytes();
    advance(1_000);
    final long idleBytes = peers.takeBytes();
    write(1);
    advance(1_000);
    assertThat(peers.takeBytes() - idleBytes, is(lessThan(2_000L)));
    assertInEffect(1);
  }

  /** Guards against wrong values when each delta arrives a second time, much later. */
  @Test
  void repeatedLateDeltasAreIgnored() throws Exception {
    peers.setRepeatAfter(Duration.ofMillis(730));
    for (int i = 1; i <= 12; i++) {
      peers.isolate("c", i % 4 == 2);
      write(i);
      advance(90);
    }
    peers.isolate("c", false);
    advance(2_000);
    assertInEffect(12);
    for (final TestDaemon daemon : daemons) {
      assertThat(daemon.revisions, is(new ArrayList<>(new TreeSet<>(daemon.revisions))));
    }
  }

  /** Guards against a daemon that stays behind after a delta whose base it does not have. */
  @Test
  void daemonRequestsFullValueWhenBaseIsMissing() throws Exception {
    peers.cut("a", "c", true);
    peers.cut("b", "c", true);
    daemons.get(2).platform.setDown(true);
    write(1);
    advance(60);
    final long behind = daemons.get(2).revision();
    assertThat(behind, is(revision - 1));
    peers.cut("b", "c", false);
    final Delta invalidDelta =
        new Delta(KEY, revision, revision + 1, JsonNodeFactory.instance.objectNode());
    final Changes changes =
        new Changes(false, behind, revision + 1, List.of(), List.of(invalidDelta));
    daemons.get(1).network.send("c", new ChangeDeltas(changes));
    advance(20);
    assertInEffect(1);
  }

  /** Guards against deltas sent to a daemon of a version that does not support them. */
  @Test
  void requesterWithoutDeltaSupportGetsFullValues() throws Exception {
    write(1);
    advance(500);
    final ChangesRequest request = new ChangesRequest(revision - 1, false);
    final CompletableFuture<Changes> future =
        daemons.get(1).network.request("a", request, Duration.ofSeconds(1), Changes.class);
    advance(50);
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

  private void advance(final long millis) {
    for (long i = 0; i < millis / 10; i++) {
      executor.advance(Duration.ofMillis(10));
      operator.tick();
    }
  }

  private void assertInEffect(final int step) {
    for (final TestDaemon daemon : daemons) {
      assertThat(
          daemon.network.self(), daemon.store.current().fleet().equals(document(step)), is(true));
      assertThat(daemon.store.current().fleetRevision(), is(revision));
    }
  }
}
