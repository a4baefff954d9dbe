package org.lentilsail.measure;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.lentilsail.config.ConfigurationStore;
import org.lentilsail.config.PeerSync;
import org.lentilsail.config.PlatformHealth;
import org.lentilsail.config.PlatformWatcher;
import org.lentilsail.http.HttpCaller;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.peer.LinkFilter;
import org.lentilsail.peer.PeerSettings;
import org.lentilsail.peer.TcpPeerNetwork;
import org.lentilsail.platform.HttpPlatformClient;

/** Configuration distribution of one entry daemon over real sockets, without its other parts. */
final class MeasuredDaemon implements AutoCloseable {
  /** Metrics of the peer network; they count the bytes that the daemon sends. */
  private final PrometheusRegistry registry = new PrometheusRegistry();

  private final ConfigurationStore store = new ConfigurationStore("r1");

  private final ScheduledExecutorService controlExecutor =
      Executors.newSingleThreadScheduledExecutor();

  private final TcpPeerNetwork network;

  private final PlatformWatcher watcher;

  MeasuredDaemon(
      final String id,
      final String zone,
      final Map<String, InetSocketAddress> peers,
      final HttpCaller http,
      final InetSocketAddress platform)
      throws IOException {
    final TimeSource time = TimeSource.system();
    final PlatformHealth health = new PlatformHealth(store);
    final PeerSettings settings =
        new PeerSettings(id, zone, "r1", new InetSocketAddress("127.0.0.1", 0), peers);
    network = new TcpPeerNetwork(settings, health, time, registry, LinkFilter.PASS_ALL);
    final PeerSync sync = new PeerSync(store, network, controlExecutor, zone);
    network.onHeartbeat(sync::onHeartbeat);
    watcher =
        new PlatformWatcher(
            new HttpPlatformClient(http, platform, id, HttpPlatformClient.DEFAULT_TIMEOUT),
            store,
            sync,
            network,
            health,
            time,
            controlExecutor,
            zone,
            vms -> {});
  }

  void start() throws IOException {
    network.start();
    watcher.start();
  }

  InetSocketAddress address() {
    return network.address();
  }

  ConfigurationStore store() {
    return store;
  }

  long sentBytes() {
    return (long)
        registry.scrape().stream()
            .filter(metric -> metric.getMetadata().getName().equals("lentilsail_peer_bytes"))
            .map(CounterSnapshot.class::cast)
            .flatMap(metric -> metric.getDataPoints().stream())
            .filter(point -> "sent".equals(point.getLabels().get("direction")))
            .mapToDouble(CounterSnapshot.CounterDataPointSnapshot::getValue)
            .sum();
  }

  @Override
  public void close() {
    controlExecutor.shutdownNow();
    network.close();
  }
}
