package org.lentilsail.peer;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.lentilsail.model.time.TimeSource;

/** Creates TCP peer networks on the loopback interface whose links a test can cut. */
public final class TestPeers implements AutoCloseable {
  private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
  private final Map<String, PrometheusRegistry> registries = new LinkedHashMap<>();
  private final List<TcpPeerNetwork> networks = new ArrayList<>();
  private final Set<String> cut = ConcurrentHashMap.newKeySet();

  /** Creates a network that knows those created before; they discover it by its hello message. */
  public TcpPeerNetwork create(final String id, final PeerStatus status) throws IOException {
    return create(id, status, new InetSocketAddress("127.0.0.1", 0));
  }

  TcpPeerNetwork create(final String id, final PeerStatus status, final InetSocketAddress listen)
      throws IOException {
    final PrometheusRegistry registry = new PrometheusRegistry();
    registries.put(id, registry);
    final Map<String, InetSocketAddress> others = new LinkedHashMap<>(addresses);
    others.remove(id);
    final TcpPeerNetwork result =
        new TcpPeerNetwork(
            new PeerSettings(id, "z1", "r1", listen, others),
            status,
            TimeSource.system(),
            registry,
            (from, to) -> !cut.contains(from + ">" + to));
    addresses.put(id, result.address());
    networks.add(result);
    return result;
  }

  TcpPeerNetwork create(final String id) throws IOException {
    return create(id, status(0));
  }

  /** Registers the address of a peer that is not a peer network. */
  void put(final String id, final InetSocketAddress address) {
    addresses.put(id, address);
  }

  void cut(final String from, final String to) {
    cut.add(from + ">" + to);
  }

  void restoreLinks() {
    cut.clear();
  }

  /** Returns the sum of a counter over all its labels. */
  public double counter(final String id, final String name) {
    return registries.get(id).scrape().stream()
        .filter(metric -> metric.getMetadata().getName().equals(name))
        .map(CounterSnapshot.class::cast)
        .flatMap(metric -> metric.getDataPoints().stream())
        .mapToDouble(CounterSnapshot.CounterDataPointSnapshot::getValue)
        .sum();
  }

  static PeerStatus status(final long revision) {
    return new PeerStatus() {
      @Override
      public long snapshotRevision() {
        return revision;
      }

      @Override
      public boolean platformConnected() {
        return true;
      }
    };
  }

  @Override
  public void close() {
    networks.forEach(TcpPeerNetwork::close);
  }
}
