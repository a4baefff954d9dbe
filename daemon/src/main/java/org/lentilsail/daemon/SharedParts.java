package org.lentilsail.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.lentilsail.config.ConfigurationStore;
import org.lentilsail.config.PeerSync;
import org.lentilsail.config.PlatformHealth;
import org.lentilsail.config.PlatformWatcher;
import org.lentilsail.http.HttpCaller;
import org.lentilsail.http.UndertowHttpCaller;
import org.lentilsail.model.settings.EntrySettings;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.peer.LinkFilter;
import org.lentilsail.peer.TcpPeerNetwork;
import org.lentilsail.platform.HttpPlatformClient;
import org.lentilsail.platform.PlatformClient;
import org.lentilsail.platform.VmReport;

/** The parts of a daemon on which all others rest: time, network, platform and configuration. */
final class SharedParts implements AutoCloseable {
  /** Longest time of a call of the platform. */
  private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(1);

  /** Time in ms between two looks at the drain notices. */
  private static final int NOTICE_TICK_MILLIS = 250;

  /** States in which the platform's list reports a VM that gets no new work. */
  private static final Set<String> ENDING = Set.of("leaving", "gone");

  /** Settings of the daemon. */
  private final EntrySettings settings;

  /** Clock of the daemon. */
  private final TimeSource time = TimeSource.system();

  /** Metrics of the daemon. */
  private final PrometheusRegistry metrics = new PrometheusRegistry();

  /** Threads of the daemon. */
  private final DaemonThreads threads;

  /** Sends HTTP requests. */
  private final HttpCaller caller;

  /** The platform. */
  private final PlatformClient platform;

  /** The configuration. */
  private final ConfigurationStore configuration;

  /** Whether the platform answers. */
  private final PlatformHealth health;

  /** The other daemons. */
  private final TcpPeerNetwork network;

  /** Watches the platform when it is this daemon's turn. */
  private final PlatformWatcher watcher;

  /** Receives the platform's list of VMs. */
  private volatile java.util.function.Consumer<List<VmReport>> vmListener = list -> {};

  SharedParts(final EntrySettings settings) throws IOException {
    this.settings = settings;
    threads = new DaemonThreads(settings.ioThreads());
    caller = new UndertowHttpCaller(threads.traffic(), time);
    platform =
        new HttpPlatformClient(
            caller, settings.platformAddress().socketAddress(), settings.id(), PLATFORM_TIMEOUT);
    configuration = new ConfigurationStore(settings.region());
    health = new PlatformHealth(configuration);
    network =
        new TcpPeerNetwork(peerSettings(settings), health, time, metrics, LinkFilter.PASS_ALL);
    final PeerSync sync =
        new PeerSync(configuration, network, threads.control(), settings.availabilityZone());
    network.onHeartbeat((peer, heartbeat) -> sync.heard(peer, heartbeat.snapshotRevision()));
    watcher =
        new PlatformWatcher(
            platform,
            configuration,
            sync,
            network,
            health,
            time,
            threads.control(),
            settings.availabilityZone(),
            list -> vmListener.accept(list));
    ProcessMetrics.register(metrics);
  }
}
