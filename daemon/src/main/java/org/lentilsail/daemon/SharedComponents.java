package org.lentilsail.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.lentilsail.config.ConfigurationStore;
import org.lentilsail.config.PlatformHealth;
import org.lentilsail.http.HttpCaller;
import org.lentilsail.http.UndertowHttpCaller;
import org.lentilsail.model.settings.EntrySettings;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.peer.LinkFilter;
import org.lentilsail.peer.PeerSettings;
import org.lentilsail.peer.TcpPeerNetwork;
import org.lentilsail.platform.HttpPlatformClient;
import org.lentilsail.platform.PlatformClient;

/**
 * Components that all other components depend on: clock, threads, network, platform client and
 * configuration.
 */
final class SharedComponents implements AutoCloseable {
  /** Timeout of a call to the platform. */
  private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(1);

  private final EntrySettings settings;

  private final TimeSource time = TimeSource.system();

  private final PrometheusRegistry metrics = new PrometheusRegistry();

  private final DaemonThreads threads;

  private final HttpCaller httpClient;

  private final PlatformClient platform;

  private final ConfigurationStore configuration;

  /** Whether the platform is reachable. */
  private final PlatformHealth health;

  /** Connections to the other daemons. */
  private final TcpPeerNetwork network;

  SharedComponents(final EntrySettings settings) throws IOException {
    this.settings = settings;
    threads = new DaemonThreads(settings.ioThreads());
    httpClient = new UndertowHttpCaller(threads.traffic(), time);
    platform =
        new HttpPlatformClient(
            httpClient,
            settings.platformAddress().socketAddress(),
            settings.id(),
            PLATFORM_TIMEOUT);
    configuration = new ConfigurationStore(settings.region());
    health = new PlatformHealth(configuration);
    network =
        new TcpPeerNetwork(peerSettings(settings), health, time, metrics, LinkFilter.PASS_ALL);
    ProcessMetrics.register(metrics);
  }

  EntrySettings settings() {
    return settings;
  }

  TimeSource time() {
    return time;
  }

  PrometheusRegistry metrics() {
    return metrics;
  }

  DaemonThreads threads() {
    return threads;
  }

  HttpCaller httpClient() {
    return httpClient;
  }

  PlatformClient platform() {
    return platform;
  }

  ConfigurationStore configuration() {
    return configuration;
  }

  PlatformHealth health() {
    return health;
  }

  TcpPeerNetwork network() {
    return network;
  }

  @Override
  public void close() {
    network.close();
    platform.close();
    httpClient.close();
    threads.close();
  }

  private static PeerSettings peerSettings(final EntrySettings settings) {
    final Map<String, InetSocketAddress> peers = new HashMap<>();
    settings.peers().forEach(peer -> peers.put(peer.id(), peer.address().socketAddress()));
    return new PeerSettings(
        settings.id(),
        settings.availabilityZone(),
        settings.region(),
        settings.peerAddress().socketAddress(),
        peers);
  }
}
