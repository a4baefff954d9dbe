package org.lentilsail.entry;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a caller leaves while its request runs. Undertow does not read from the connection
 * in that time, so the close would go unseen. All methods run on the connection's I/O thread.
 */
final class DisconnectWatch {
  /** Connection of the caller. */
  private final HttpServerConnection connection;

  /** Called once when the caller has left. */
  private final Runnable onLeave;

  /** Listener that Undertow had on the connection. */
  private final ChannelListener<? super ConduitStreamSourceChannel> previous;

  /** Whether the connection is being watched. */
  private boolean active = true;

  private DisconnectWatch(final HttpServerConnection connection, final Runnable onLeave) {
    this.connection = connection;
    this.onLeave = onLeave;
    this.previous = connection.getChannel().getSourceChannel().getReadListener();
  }

  /** Starts to watch; a connection that already carries the next request is not watched. */
  static DisconnectWatch start(final HttpServerExchange exchange, final Runnable onLeave) {
    final HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
    final DisconnectWatch result = new DisconnectWatch(connection, onLeave);
    if (connection.getExtraBytes() == null) {
      connection.getChannel().getSourceChannel().setReadListener(channel -> result.check());
      connection.getOriginalSourceConduit().resumeReads();
    } else {
      result.active = false;
    }
    return result;
  }

  /** Hands the connection back; call it before the response is written. */
  void stop() {
    if (active) {
      active = false;
      connection.getOriginalSourceConduit().suspendReads();
      connection.getChannel().getSourceChannel().setReadListener(previous);
    }
  }

  private void check() {
    if (!active) {
      return;
    }
    final StreamSourceConduit conduit = connection.getOriginalSourceConduit();
    final PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
    int count = -1;
    try {
      count = conduit.read(pooled.getBuffer());
    } catch (final IOException error) {
      // A reset is one way to leave.
    }
    if (count > 0) {
      stop();
      pooled.getBuffer().flip();
      connection.ungetRequestBytes(pooled);
    } else {
      pooled.close();
      if (count < 0) {
        stop();
        IoUtils.safeClose(connection);
        onLeave.run();
      }
    }
  }
}
