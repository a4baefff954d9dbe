package org.lentilsail.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lentilsail.ManualExecutor;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.peer.FakePeers;
import org.lentilsail.platform.FakePlatform;
import org.lentilsail.platform.VmReport;

/**
 * Guards against configuration that does not reach a daemon within 2 s, reverts, or depends on one
 * daemon, on a manual clock with three daemons in zone z1 and one in z2.
 */
class DistributionTest {
  /** Maximum time until a change is in effect on all daemons, at the current size of the fleet. */
  private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(2);

  private final ManualTimeSource time = new ManualTimeSource(0);
  private final ManualExecutor executor = new ManualExecutor(time);
  private final FakePeers peers = new FakePeers(time, executor);
  private final FakePlatform operator = new FakePlatform(time);
  private final List<TestDaemon> daemons = new ArrayList<>();

  @BeforeEach
  void create() {
    for (final String id : List.of("a", "b", "c", "d")) {
      final String zone = id.equals("d") ? "z2" : "z1";
      daemons.add(new TestDaemon(id, zone, operator.anotherClient(), peers, time, executor));
    }
  }

  @Test
  void changeIsInEffectEverywhereAndOneDaemonOfEachZoneWatches() throws Exception {
    startAll();
    assertThat(watchers(), contains("a", "d"));
    assertThat(operator.waitingWatches(), is(2));
    write("config/pool/spare", 0);
    advance(PROPAGATION_LIMIT);
    for (final TestDaemon daemon : daemons) {
      assertThat(
          daemon.store.current().records().pools().keySet(), is(new TreeSet<>(List.of("spare"))));
    }
    assertThat(operator.delete("config/pool/spare", 1).get().written(), is(true));
    advance(PROPAGATION_LIMIT);
    for (final TestDaemon daemon : daemons) {
      assertThat(daemon.store.current().records().pools().keySet(), is(empty()));
    }
  }

  @Test
  void nextDaemonWatchesWhenTheWatcherDies() throws Exception {
    startAll();
    daemons.get(0).network.kill();
    daemons.get(0).platform.setDown(true);
    write("config/pool/spare", 0);
    advance(PROPAGATION_LIMIT);
    assertThat(daemons.get(1).watcher.isWatching(), is(true));
    assertThat(daemons.get(2).watcher.isWatching(), is(false));
    assertThat(daemons.get(2).revision(), is(1L));
  }

  @Test
  void watcherThatLosesThePlatformIsReplacedUntilItRecovers() throws Exception {
    startAll();
    daemons.get(0).platform.setDown(true);
    write("config/pool/spare", 0);
    advance(PROPAGATION_LIMIT);
    assertThat(watchers(), contains("b", "d"));
    assertRevision(1);
    daemons.get(0).platform.setDown(false);
    advance(Duration.ofSeconds(3));
    assertThat(watchers(), contains("a", "d"));
    write("config/pool/other", 0);
    advance(PROPAGATION_LIMIT);
    assertRevision(2);
  }

  @Test
  void daemonThatStartsWithoutPlatformGetsConfigurationFromPeers() throws Exception {
    write("config/pool/spare", 0);
    daemons.subList(0, 3).forEach(TestDaemon::start);
    advance(Duration.ofSeconds(3));
    final TestDaemon late = daemons.get(3);
    daemons.forEach(daemon -> daemon.platform.setDown(true));
    late.start();
    advance(PROPAGATION_LIMIT);
    assertThat(late.revision(), is(1L));
    assertThat(late.watcher.isWatching(), is(false));
  }

  @Test
  void platformOutageKeepsTheConfigurationAndItsEndBringsTheChanges() throws Exception {
    write("config/pool/spare", 0);
    startAll();
    daemons.forEach(daemon -> daemon.platform.setDown(true));
    advance(Duration.ofMinutes(10));
    assertRevision(1);
    assertThat(watchers(), is(empty()));
    write("config/pool/other", 0);
    daemons.forEach(daemon -> daemon.platform.setDown(false));
    advance(Duration.ofSeconds(3));
    assertRevision(2);
  }

  @Test
  void incompleteWatchLeadsToNewList() throws Exception {
    write("config/pool/spare", 0);
    startAll();
    daemons.forEach(daemon -> daemon.platform.setDown(true));
    advance(Duration.ofSeconds(1));
    operator.delete("config/pool/spare", 1);
    write("config/pool/other", 0);
    operator.compactChanges();
    daemons.forEach(daemon -> daemon.platform.setDown(false));
    advance(Duration.ofSeconds(4));
    assertRevision(3);
    for (final TestDaemon daemon : daemons) {
      assertThat(daemon.store.current().records().pools().keySet(), contains("other"));
    }
  }

  @Test
  void isolatedDaemonCatchesUpAndNeverReverts() throws Exception {
    startAll();
    peers.setRepeatAfter(Duration.ofMillis(1_700));
    peers.isolate("c", true);
    daemons.get(2).platform.setDown(true);
    for (int i = 0; i < 5; i++) {
      write("config/pool/p" + i, 0);
      advance(Duration.ofMillis(300));
    }
    assertThat(daemons.get(2).revision(), is(0L));
    peers.isolate("c", false);
    advance(PROPAGATION_LIMIT);
    assertRevision(5);
    for (final TestDaemon daemon : daemons) {
      assertThat(daemon.revisions, is(new ArrayList<>(new TreeSet<>(daemon.revisions))));
    }
  }

  @Test
  void watcherReportsVmsOncePerSecond() {
    operator.setVms(
        List.of(new VmReport("v1", "worker", "h:1", "z1", "r", "p", "leaving", false, 0, 1)));
    startAll();
    final int before = daemons.get(0).vms.size();
    advance(Duration.ofSeconds(10));
    assertThat(daemons.get(0).vms.size() - before, is(10));
    assertThat(daemons.get(1).vms.size(), is(daemons.get(2).vms.size()));
  }

  @Test
  void idleMinuteNeedsFewCalls() {
    startAll();
    final int before = operator.calls();
    advance(Duration.ofMinutes(1));
    // In each of 2 zones the watcher reads the list of VMs 60 times and starts 3 watches; each of 2
    // other daemons probes 12 times.
    assertThat(operator.calls() - before <= 2 * (60 + 4) + 2 * 13, is(true));
  }

  private void startAll() {
    daemons.forEach(TestDaemon::start);
    advance(Duration.ofSeconds(3));
  }

  private void write(final String key, final long expected) throws Exception {
    final String name = key.substring(key.lastIndexOf('/') + 1);
    final JsonNode value =
        new ObjectMapper()
            .readTree(
                "{\"kind\":\"pool\",\"schemaVersion\":2,\"name\":\"" + name + "\",\"spec\":{}}");
    operator.compareAndSet(key, expected, value, Optional.empty());
  }

  private void advance(final Duration duration) {
    for (long i = 0; i < duration.toMillis() / 10; i++) {
      executor.advance(Duration.ofMillis(10));
      operator.tick();
    }
  }

  private void assertRevision(final long revision) {
    for (final TestDaemon daemon : daemons) {
      assertThat(daemon.network.self(), daemon.revision(), is(revision));
    }
  }

  private List<String> watchers() {
    return daemons.stream()
        .filter(daemon -> daemon.watcher.isWatching())
        .map(daemon -> daemon.network.self())
        .toList();
  }
}
