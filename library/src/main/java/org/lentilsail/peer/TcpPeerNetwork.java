package org.lentilsail.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lentilsail.admin.StateSource;
import org.lentilsail.model.time.TimeSource;
import org.tinylog.Logger;

/** Exchanges framed MessagePack messages and heartbeats between daemons over TCP; thread-safe. */
public final class TcpPeerNetwork implements PeerNetwork, StateSource, AutoCloseable {
  /** Interval of the heartbeats in ns. */
  private static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Factor that leaves three random digits after the milliseconds in an incarnation. */
  private static final long INCARNATION_STEP = 1_000;

  private final PeerSettings settings;
  private final PeerStatus status;
  private final long incarnation;
  private final PeerContext context;
  private final PeerDirectory directory;
  private final MessageHandlers handlers;
  private final InboundConnections inbound;

  /** Outbound connections by peer. */
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();

  private final List<HeartbeatListener> heartbeatListeners = new CopyOnWriteArrayList<>();
  private final ServerSocketChannel server;

  /** Monotonic time of the next heartbeat. */
  private long nextHeartbeatNanos;

  /**
   * Binds the address, so that no other process can use it, but accepts and opens no connections
   * yet.
   *
   * @param settings identity and addresses of this daemon and its peers
   * @param status supplies the content of the heartbeats
   * @param time clock
   * @param registry registry of the metrics
   * @param filter decides which messages are delivered
   * @throws IOException when the address cannot be bound
   */
  public TcpPeerNetwork(
      final PeerSettings settings,
      final PeerStatus status,
      final TimeSource time,
      final PrometheusRegistry registry,
      final LinkFilter filter)
      throws IOException {
    this.settings = settings;
    this.status = status;
    this.incarnation =
        time.wallMillis() * INCARNATION_STEP
            + ThreadLocalRandom.current().nextLong(INCARNATION_STEP);
    this.nextHeartbeatNanos = time.nanos();
    final PeerEventLoop loop =
        new PeerEventLoop("lentilsail-peers", time, this::tick, this::closeConnections);
    final PeerMetrics metrics = new PeerMetrics(registry);
    final PeerCodec codec = new PeerCodec();
    context = new PeerContext(settings.self(), time, loop, codec, metrics, filter);
    directory = new PeerDirectory(time);
    handlers = new MessageHandlers(codec, metrics);
    inbound = new InboundConnections(context, directory, handlers, this::connectBack);
    handlers.add("heartbeat", Heartbeat.class, this::handleHeartbeat);
    server = ServerSocketChannel.open();
    server.bind(settings.listen());
  }

  /**
   * Starts accepting and opening connections; the handlers must be registered before.
   *
   * @throws IOException when the server socket cannot be registered with the event loop
   */
  public void start() throws IOException {
    settings.peers().forEach((peer, address) -> links.put(peer, link(peer, address)));
    context.loop().register(server, SelectionKey.OP_ACCEPT, () -> inbound.accept(server));
    context.loop().start();
    Logger.info("peer: {} accepts peers on {}", settings.self(), address());
  }

  /**
   * Returns the address to which peers connect.
   *
   * @return the address with the bound port
   */
  public InetSocketAddress address() {
    return new InetSocketAddress(settings.listen().getAddress(), server.socket().getLocalPort());
  }

  /**
   * Registers a listener for heartbeats; call it before the network starts.
   *
   * @param listener receives the configuration revisions of the senders
   */
  public void onHeartbeat(final HeartbeatListener listener) {
    heartbeatListeners.add(listener);
  }

  @Override
  public String self() {
    return settings.self();
  }

  @Override
  public long incarnation() {
    return incarnation;
  }

  @Override
  public List<PeerView> peers() {
    return directory.views();
  }

  @Override
  public void send(final String peer, final PeerMessage message) {
    final PeerLink link = links.get(peer);
    if (link == null) {
      context.metrics().countDroppedMessage();
    } else {
      link.send(message);
    }
  }

  @Override
  public <R extends PeerMessage> CompletableFuture<R> request(
      final String peer,
      final PeerMessage message,
      final Duration timeout,
      final Class<R> replyType) {
    final PeerLink link = links.get(peer);
    return link == null
        ? CompletableFuture.failedFuture(
            new PeerUnreachableException(peer, false, "the peer is not known"))
        : link.request(message, timeout, replyType);
  }

  @Override
  public <M extends PeerMessage> void handle(
      final String name, final Class<M> type, final PeerHandler<M> handler) {
    handlers.add(name, type, handler);
  }

  @Override
  public void onPeerChange(final Consumer<PeerView> listener) {
    directory.addListener(listener);
  }

  @Override
  public String stateName() {
    return "peers";
  }

  @Override
  public JsonNode state() {
    final ObjectNode result = JsonNodeFactory.instance.objectNode();
    result.put("self", self()).put("incarnation", incarnation);
    final ArrayNode peers = result.putArray("peers");
    for (final PeerView view : peers()) {
      final PeerLink link = links.get(view.id());
      peers
          .addObject()
          .put("id", view.id())
          .put("incarnation", view.incarnation())
          .put("availabilityZone", view.availabilityZone())
          .put("region", view.region())
          .put("live", view.live())
          .put("connected", link != null && link.isOpen())
          .put("platformConnected", view.platformConnected())
          .put("silentMillis", view.silentMillis());
    }
    return result;
  }

  @Override
  public void close() {
    context.loop().close();
  }

  private PeerLink link(final String peer, final InetSocketAddress address) {
    return new PeerLink(directory.peer(peer), address, context, this::handshake);
  }

  private List<PeerMessage> handshake() {
    final InetSocketAddress own = address();
    return List.of(
        new Hello(
            settings.self(),
            incarnation,
            settings.availabilityZone(),
            settings.region(),
            own.getAddress().getHostAddress(),
            own.getPort()),
        heartbeat());
  }

  private Heartbeat heartbeat() {
    return new Heartbeat(status.snapshotRevision(), status.platformConnected());
  }

  /** Connects to a peer that is not in the settings, such as a replacement. */
  private void connectBack(final PeerState peer, final Hello hello) {
    final InetSocketAddress address = new InetSocketAddress(hello.host(), hello.port());
    links.computeIfAbsent(peer.id(), id -> link(id, address)).updateAddress(address);
  }

  private CompletableFuture<PeerMessage> handleHeartbeat(
      final String from, final Heartbeat heartbeat) {
    directory.peer(from).setPlatformConnected(heartbeat.platformConnected());
    heartbeatListeners.forEach(
        listener -> listener.heartbeatReceived(from, heartbeat.snapshotRevision()));
    return null;
  }

  private void tick() {
    directory.checkLiveness();
    links.values().forEach(PeerLink::tick);
    final long now = context.time().nanos();
    if (now - nextHeartbeatNanos >= 0) {
      nextHeartbeatNanos = now + HEARTBEAT_NANOS;
      final Heartbeat heartbeat = heartbeat();
      links.values().stream().filter(PeerLink::isOpen).forEach(link -> link.send(heartbeat));
    }
  }

  private void closeConnections() {
    links.values().forEach(PeerLink::close);
    inbound.close();
    try {
      server.close();
    } catch (final IOException error) {
      Logger.warn("peer: closing the server socket failed: {}", error.getMessage());
    }
  }
}
