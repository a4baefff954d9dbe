package org.lentilsail.peer;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.lentilsail.model.error.LentilsailException;
import org.tinylog.Logger;

/** The connections that peers open to this daemon, for their messages and this daemon's replies. */
final class InboundConnections implements ConnectionListener {
  private final PeerContext context;
  private final PeerDirectory directory;
  private final MessageHandlers handlers;

  /** Called after the hello message of a connection. */
  private final BiConsumer<PeerState, Hello> onHello;

  /** Sender by connection, null before its hello message. */
  private final Map<PeerConnection, PeerState> senders = new HashMap<>();

  InboundConnections(
      final PeerContext context,
      final PeerDirectory directory,
      final MessageHandlers handlers,
      final BiConsumer<PeerState, Hello> onHello) {
    this.context = context;
    this.directory = directory;
    this.handlers = handlers;
    this.onHello = onHello;
  }

  void accept(final ServerSocketChannel server) {
    try {
      SocketChannel channel = server.accept();
      while (channel != null) {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        final PeerConnection connection = new PeerConnection(channel, this, context.metrics());
        senders.put(connection, null);
        connection.register(context.loop(), SelectionKey.OP_READ);
        channel = server.accept();
      }
    } catch (final IOException error) {
      Logger.warn("peer: accepting a connection failed: {}", error.getMessage());
    }
  }

  void close() {
    List.copyOf(senders.keySet())
        .forEach(connection -> connection.close("this daemon is stopping"));
  }

  @Override
  public void connected(final PeerConnection connection) {
    // Called only for connections that this daemon opens.
  }

  @Override
  public void frameReceived(final PeerConnection connection, final byte[] frame) {
    final Envelope envelope = context.codec().decodeEnvelope(frame);
    final PeerState sender = senders.get(connection);
    if (sender == null) {
      handleHello(connection, envelope);
    } else if (context.filter().passes(sender.id(), context.self())) {
      directory.markLive(sender);
      handlers.dispatch(
          sender.id(), envelope, reply -> sendReply(connection, envelope.request(), reply));
    }
  }

  @Override
  public void closed(final PeerConnection connection, final String reason) {
    senders.remove(connection);
  }

  private void handleHello(final PeerConnection connection, final Envelope envelope) {
    final Hello hello =
        envelope.type().equals("hello")
            ? context.codec().decodeContent(envelope, Hello.class)
            : null;
    if (hello == null || hello.id() == null || hello.id().equals(context.self())) {
      throw new BadFrameException(
          BadFrameReason.NO_HELLO,
          "a connection began with message \"" + envelope.type() + "\" instead of a hello");
    }
    final PeerState sender = directory.peer(hello.id());
    List.copyOf(senders.keySet()).stream()
        .filter(other -> senders.get(other) == sender)
        .forEach(other -> other.close("the peer has opened another connection"));
    senders.put(connection, sender);
    if (context.filter().passes(sender.id(), context.self())) {
      directory.identify(sender, hello);
      directory.markLive(sender);
      onHello.accept(sender, hello);
    }
  }

  private void sendReply(
      final PeerConnection connection, final long request, final PeerMessage reply) {
    final OutboundFrame frame;
    try {
      frame = new OutboundFrame(context.codec().encode(reply, 0, request));
    } catch (final LentilsailException error) {
      sendReply(connection, request, new RequestFailed(error.getMessage()));
      return;
    }
    if (connection.reserve(frame)) {
      context.loop().execute(() -> connection.send(frame));
    } else {
      context.metrics().countDroppedMessage();
    }
  }
}
