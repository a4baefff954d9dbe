package org.lentilsail.config;

import java.util.ArrayList;
import java.util.List;
import org.lentilsail.ManualExecutor;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.peer.FakePeerNetwork;
import org.lentilsail.peer.FakePeers;
import org.lentilsail.platform.FakePlatform;
import org.lentilsail.platform.VmReport;

/** Configuration components of one daemon on a manual clock. */
final class TestDaemon {
  final FakePlatform platform;
  final ConfigurationStore store = new ConfigurationStore("r1");
  final FakePeerNetwork network;
  final PlatformWatcher watcher;
  final List<VmReport> vms = new ArrayList<>();
  final List<Long> revisions = new ArrayList<>();

  TestDaemon(
      final String id,
      final String zone,
      final FakePlatform platform,
      final FakePeers peers,
      final ManualTimeSource time,
      final ManualExecutor executor) {
    this.platform = platform;
    final PlatformHealth health = new PlatformHealth(store);
    network = peers.create(id, zone, health);
    final PeerSync sync = new PeerSync(store, network, executor, zone);
    network.onHeartbeat(sync::onHeartbeat);
    watcher =
        new PlatformWatcher(
            platform, store, sync, network, health, time, executor, zone, vms::addAll);
    store.onChange(snapshot -> revisions.add(snapshot.revision()));
  }

  TestDaemon start() {
    network.start();
    watcher.start();
    return this;
  }

  long revision() {
    return store.current().revision();
  }
}
