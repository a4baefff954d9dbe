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
 * The connection that this daemon opens to one peer. It carries this daemon's messages and the
 * peer's replies to them, and is opened again after it ends.
 */
final class PeerLink implements ConnectionListener {
  /** First wait in ms before the connection is opened again. */
  private static final long MIN_BACKOFF_MILLIS = 50;

  /** Longest wait in ms before the connection is opened again. */
  private static final long MAX_BACKOFF_MILLIS = 1_000;

  /**
   * Time in ns without a sign of the peer after which a connection is opened anew. TCP itself would
   * wait ever longer between retransmissions, up to minutes after a partition has ended.
   */
  private static final long STALE_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** The peer. */
  private final PeerState peer;

  /** What the connections share. */
  private final PeerContext context;

  /** Gives the first message of a connection. */
  private final Supplier<List<PeerMessage>> greeting;

  /** Requests that wait for replies, by number. */
  private final Map<Long, PendingRequest<?>> pending = new ConcurrentHashMap<>();

  /** Number of the last request. */
  private final AtomicLong lastRequest = new AtomicLong();

  /** Where the peer accepts connections. */
  private InetSocketAddress address;

  /** The connection, open or being opened, null without one. */
  private PeerConnection connection;

  /** The connection once it is open, null otherwise. */
  private volatile PeerConnection open;

  /** Monotonic time at which the connection was begun. */
  private long begunNanos;

  /** Monotonic time before which no connection is opened. */
  private long nextNanos;

  /** Next wait before the connection is opened again. */
  private long backoffMillis = MIN_BACKOFF_MILLIS;

  PeerLink(
      final PeerState peer,
      final InetSocketAddress address,
      final PeerContext context,
      final Supplier<List<PeerMessage>> greeting) {
    this.peer = peer;
    this.address = address;
    this.context = context;
    this.greeting = greeting;
    this.nextNanos = context.time().nanos();
  }

  boolean isOpen() {
    return open != null;
  }

  /** Takes note of the address that the peer itself has given. */
  void updateAddress(final InetSocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      address = newAddress;
      backoffMillis = MIN_BACKOFF_MILLIS;
      nextNanos = context.time().nanos();
    }
  }

  /** Opens the connection when it is time and fails the requests that are over. */
  void tick() {
    final long now = context.time().nanos();
    if (connection == null) {
      if (now - nextNanos >= 0) {
        connect(now);
      }
    } else if (now - begunNanos >= STALE_NANOS && peer.silentNanos(now) >= STALE_NANOS) {
      connection.close("the peer is silent");
    }
    pending.forEach(
        (number, request) -> {
          if (now - request.deadlineNanos() >= 0 && pending.remove(number, request)) {
            request.fail(peer.id(), "it did not reply in time");
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
      request.fail(peer.id(), "it is not connected");
    } else if (!target.reserve(frame)) {
      request.fail(peer.id(), "too much waits to be sent to it");
    } else {
      context.loop().execute(() -> start(target, number, request));
      reply.whenComplete((result, failure) -> forgetWhenCancelled(number, request));
    }
    return reply;
  }

  void close() {
    if (connection != null) {
      connection.close("this daemon stops");
    }
  }

  @Override
  public void connected(final PeerConnection established) {
    backoffMillis = MIN_BACKOFF_MILLIS;
    for (final PeerMessage message : greeting.get()) {
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
    nextNanos = context.time().nanos() + TimeUnit.MILLISECONDS.toNanos(wait);
    backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    Logger.debug("peer: connection to {} ended: {}", peer.id(), reason);
    pending.forEach(
        (number, request) -> {
          if (pending.remove(number, request)) {
            request.fail(peer.id(), reason);
          }
        });
  }

  private <R extends PeerMessage> void start(
      final PeerConnection target, final long number, final PendingRequest<R> request) {
    if (!target.isOpen()) {
      request.fail(peer.id(), "the connection has ended");
    } else if (!request.reply().isDone()) {
      pending.put(number, request);
      target.send(request.frame());
    }
  }

  private void forgetWhenCancelled(final long number, final PendingRequest<?> request) {
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
    begunNanos = now;
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
