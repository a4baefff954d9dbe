package org.lentilsail.peer;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The peer network of one daemon in {@link FakePeers}. */
public final class FakePeerNetwork implements PeerNetwork {
  private final FakePeers hub;
  private final String id;
  private final String zone;
  private final PeerStatus status;
  private final PeerCodec codec = new PeerCodec();
  private final PeerDirectory directory;
  private final MessageHandlers handlers;
  private final List<HeartbeatListener> heartbeatListeners = new ArrayList<>();
  private final Map<Long, PendingRequest<?>> pending = new HashMap<>();
  private ScheduledFuture<?> heartbeats;
  private long lastRequest;

  FakePeerNetwork(
      final FakePeers hub, final String id, final String zone, final PeerStatus status) {
    this.hub = hub;
    this.id = id;
    this.zone = zone;
    this.status = status;
    this.directory = new PeerDirectory(hub.time);
    this.handlers = new MessageHandlers(codec, new PeerMetrics(new PrometheusRegistry()));
    handlers.add("heartbeat", Heartbeat.class, this::handleHeartbeat);
  }

  /** Starts the heartbeats. */
  public void start() {
    heartbeats = hub.executor.scheduleWithFixedDelay(this::tick, 0, 250, TimeUnit.MILLISECONDS);
  }

  /** Stops without notice, like a killed process. */
  public void kill() {
    heartbeats.cancel(false);
    hub.networks.remove(id);
  }

  /** Registers a listener for heartbeats. */
  public void onHeartbeat(final HeartbeatListener listener) {
    heartbeatListeners.add(listener);
  }

  @Override
  public String self() {
    return id;
  }

  @Override
  public long incarnation() {
    return 1;
  }

  @Override
  public List<PeerView> peers() {
    directory.checkLiveness();
    return directory.views();
  }

  @Override
  public void send(final String peer, final PeerMessage message) {
    hub.transmit(id, peer, codec.encode(message, 0, 0));
  }

  @Override
  public <R extends PeerMessage> CompletableFuture<R> request(
      final String peer,
      final PeerMessage message,
      final Duration timeout,
      final Class<R> replyType) {
    final long number = ++lastRequest;
    final OutboundFrame frame = new OutboundFrame(codec.encode(message, number, 0));
    frame.markStarted();
    final CompletableFuture<R> reply = new CompletableFuture<>();
    final PendingRequest<R> request = new PendingRequest<>(frame, replyType, 0, reply);
    pending.put(number, request);
    hub.transmit(id, peer, frame.bytes());
    hub.executor.schedule(
        () -> request.fail(peer, "the reply timed out"), timeout.toNanos(), TimeUnit.NANOSECONDS);
    return reply;
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

  void receive(final String from, final byte[] body) {
    final PeerState sender = directory.peer(from);
    if (sender.incarnation() == 0) {
      directory.identify(sender, new Hello(from, 1, hub.networks.get(from).zone, "r1", "", 0));
    }
    directory.markLive(sender);
    final Envelope envelope = codec.decodeEnvelope(body);
    if (envelope.reply() != 0) {
      final PendingRequest<?> request = pending.remove(envelope.reply());
      if (request != null) {
        request.complete(codec, envelope, from);
      }
    } else {
      handlers.dispatch(
          from,
          envelope,
          reply -> hub.transmit(id, from, codec.encode(reply, 0, envelope.request())));
    }
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
    hub.networks.keySet().stream()
        .filter(other -> !other.equals(id))
        .forEach(
            other ->
                send(other, new Heartbeat(status.snapshotRevision(), status.platformConnected())));
  }
}
