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
 * Detects that a caller disconnects while its request runs. Undertow does not read from the
 * connection during that time, so it would not detect the close. All methods run on the
 * connection's I/O thread.
 */
final class DisconnectWatch {
  /** Connection of the caller. */
  private final HttpServerConnection connection;

  /** Called once when the caller has disconnected. */
  private final Runnable onDisconnect;

  /** Undertow's read listener of the connection, restored by {@link #stop}. */
  private final ChannelListener<? super ConduitStreamSourceChannel> undertowListener;

  /** Whether the connection is watched. */
  private boolean active = true;

  private DisconnectWatch(final HttpServerConnection connection, final Runnable onDisconnect) {
    this.connection = connection;
    this.onDisconnect = onDisconnect;
    this.undertowListener = connection.getChannel().getSourceChannel().getReadListener();
  }

  /**
   * Starts to watch; a connection that already contains bytes of the next request is not watched.
   */
  static DisconnectWatch start(final HttpServerExchange exchange, final Runnable onDisconnect) {
    final HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
    final DisconnectWatch result = new DisconnectWatch(connection, onDisconnect);
    if (connection.getExtraBytes() == null) {
      connection.getChannel().getSourceChannel().setReadListener(channel -> result.check());
      connection.getOriginalSourceConduit().resumeReads();
    } else {
      result.active = false;
    }
    return result;
  }

  /** Restores Undertow's read listener; call it before the response is written. */
  void stop() {
    if (active) {
      active = false;
      connection.getOriginalSourceConduit().suspendReads();
      connection.getChannel().getSourceChannel().setReadListener(undertowListener);
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
      // A connection reset counts as a disconnect.
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
        onDisconnect.run();
      }
    }
  }
}
