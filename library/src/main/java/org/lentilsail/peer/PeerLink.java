package org.lentilsail.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.lentilsail.model.error.LentilsailException;
import org.tinylog.Logger;

/**
 * The connection that this daemon opens to one peer, for its messages and the peer's replies to
 * them. It is reopened after it has ended.
 */
final class PeerLink implements ConnectionListener {
  /** Initial delay in ms before the connection is reopened. */
  private static final long MIN_BACKOFF_MILLIS = 50;

  /** Maximum delay in ms before the connection is reopened. */
  private static final long MAX_BACKOFF_MILLIS = 1_000;

  /**
   * Time in ns without a message of the peer after which the connection is reopened. With the
   * retransmission backoff of TCP alone, a connection could stay stalled for minutes after the end
   * of a partition.
   */
  private static final long STALE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final PeerState peer;
  private final PeerContext context;

  /** Supplies the first messages of a connection. */
  private final Supplier<List<PeerMessage>> handshake;

  /** Requests without a reply, by number. */
  private final Map<Long, PendingRequest<?>> pending = new ConcurrentHashMap<>();

  private final AtomicLong lastRequest = new AtomicLong();

  /** Address at which the peer accepts connections. */
  private InetSocketAddress address;

  /** The open or connecting connection, null without one. */
  private PeerConnection connection;

  /** The connection once it is open, null otherwise. */
  private volatile PeerConnection open;

  /** Monotonic time at which connecting began. */
  private long connectNanos;

  /** Monotonic time of the next attempt to connect. */
  private long nextConnectNanos;

  /** Next delay before the connection is reopened. */
  private long backoffMillis = MIN_BACKOFF_MILLIS;

  PeerLink(
      final PeerState peer,
      final InetSocketAddress address,
      final PeerContext context,
      final Supplier<List<PeerMessage>> handshake) {
    this.peer = peer;
    this.address = address;
    this.context = context;
    this.handshake = handshake;
    this.nextConnectNanos = context.time().nanos();
  }

  boolean isOpen() {
    return open != null;
  }

  /** Applies the address from the peer's hello message; a new address resets the backoff. */
  void updateAddress(final InetSocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      address = newAddress;
      backoffMillis = MIN_BACKOFF_MILLIS;
      nextConnectNanos = context.time().nanos();
    }
  }

  /** Opens the connection when it is due and fails the requests whose deadline has passed. */
  void tick() {
    final long now = context.time().nanos();
    if (connection == null) {
      if (now - nextConnectNanos >= 0) {
        connect(now);
      }
    } else if (now - connectNanos >= STALE_NANOS && peer.silentNanos(now) >= STALE_NANOS) {
      connection.close("the peer is unresponsive");
    }
    pending.forEach(
        (number, request) -> {
          if (now - request.deadlineNanos() >= 0 && pending.remove(number, request)) {
            request.fail(peer.id(), "the reply timed out");
          }
        });
  }

  /** Sends a one-way message; callable from every thread. */
  void send(final PeerMessage message) {
    final PeerConnection target = open;
    final OutboundFrame frame = new OutboundFrame(context.codec().encode(message, 0, 0));
    if (target == null || !target.reserve(frame)) {
      context.metrics().countDroppedMessage();
    } else {
      context.loop().execute(() -> target.send(frame));
    }
  }

  /** Sends a request; callable from every thread. */
  <R extends PeerMessage> CompletableFuture<R> request(
      final PeerMessage message, final Duration timeout, final Class<R> replyType) {
    final PeerConnection target = open;
    final long number = lastRequest.incrementAndGet();
    final OutboundFrame frame;
    try {
      frame = new OutboundFrame(context.codec().encode(message, number, 0));
    } catch (final LentilsailException error) {
      return CompletableFuture.failedFuture(error);
    }
    final CompletableFuture<R> reply = new CompletableFuture<>();
    final PendingRequest<R> request =
        new PendingRequest<>(frame, replyType, context.time().nanos() + timeout.toNanos(), reply);
    if (target == null) {
      request.fail(peer.id(), "the peer is not connected");
    } else if (!target.reserve(frame)) {
      request.fail(peer.id(), "the send queue is full");
    } else {
      context.loop().execute(() -> sendRequest(target, number, request));
      reply.whenComplete((result, failure) -> discardIfCancelled(number, request));
    }
    return reply;
  }

  void close() {
    if (connection != null) {
      connection.close("this daemon is stopping");
    }
  }

  @Override
  public void connected(final PeerConnection established) {
    backoffMillis = MIN_BACKOFF_MILLIS;
    for (final PeerMessage message : handshake.get()) {
      final OutboundFrame frame = new OutboundFrame(context.codec().encode(message, 0, 0));
      if (established.reserve(frame)) {
        established.send(frame);
      }
    }
    open = established;
  }

  @Override
  public void frameReceived(final PeerConnection from, final byte[] bytes) {
    final Envelope envelope = context.codec().decodeEnvelope(bytes);
    if (!context.filter().passes(peer.id(), context.self())) {
      return;
    }
    final PendingRequest<?> request = pending.remove(envelope.reply());
    if (request == null) {
      return;
    }
    if (envelope.type().equals(RequestFailed.NAME)) {
      final RequestFailed failed = context.codec().decodeContent(envelope, RequestFailed.class);
      request.fail(peer.id(), failed == null ? "unreadable reason" : failed.reason());
    } else {
      request.complete(context.codec(), envelope, peer.id());
    }
  }

  @Override
  public void closed(final PeerConnection ended, final String reason) {
    open = null;
    connection = null;
    final long wait = ThreadLocalRandom.current().nextLong(backoffMillis / 2, backoffMillis + 1);
    nextConnectNanos = context.time().nanos() + TimeUnit.MILLISECONDS.toNanos(wait);
    backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    Logger.debug("peer: connection to {} ended: {}", peer.id(), reason);
    pending.forEach(
        (number, request) -> {
          if (pending.remove(number, request)) {
            request.fail(peer.id(), reason);
          }
        });
  }

  private <R extends PeerMessage> void sendRequest(
      final PeerConnection target, final long number, final PendingRequest<R> request) {
    if (!target.isOpen()) {
      request.fail(peer.id(), "the connection has ended");
    } else if (!request.reply().isDone()) {
      pending.put(number, request);
      target.send(request.frame());
    }
  }

  private void discardIfCancelled(final long number, final PendingRequest<?> request) {
    if (request.reply().isCancelled()) {
      context
          .loop()
          .execute(
              () -> {
                pending.remove(number);
                request.frame().cancel();
              });
    }
  }

  private void connect(final long now) {
    connectNanos = now;
    try {
      final SocketChannel channel = SocketChannel.open();
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      connection = new PeerConnection(channel, this, context.metrics());
      connection.register(context.loop(), SelectionKey.OP_CONNECT);
      if (channel.connect(address)) {
        connection.established();
      }
    } catch (final IOException error) {
      if (connection != null) {
        connection.close(String.valueOf(error.getMessage()));
      }
    }
  }
}
