package org.lentilsail.entry;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lentilsail.config.ConfigurationView;
import org.lentilsail.model.time.TimeSource;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** HTTP server for callers. */
public final class EntryServer implements AutoCloseable {
  /** Size in bytes of a network buffer. */
  private static final int BUFFER_BYTES = 16 * 1024;

  /**
   * Maximum size in bytes of a request head; a larger one is cut off without an error response of
   * lentilsail.
   */
  private static final int MAX_HEAD_BYTES = 64 * 1024;

  /**
   * Maximum size in bytes of a request body that is read. Smaller bodies over the limit of 1 MB are
   * read completely before they are rejected, because closing a connection with unread data resets
   * it and loses the error response.
   */
  private static final long MAX_BODY_READ_BYTES = 2L * 1024 * 1024;

  /** Timeout in ms for receiving a request head, so that slow callers do not occupy connections. */
  private static final int HEAD_TIMEOUT_MILLIS = 10_000;

  /** Idle time in ms after which a persistent connection is closed. */
  private static final int IDLE_TIMEOUT_MILLIS = 60_000;

  private static final OptionMap HTTP_OPTIONS =
      OptionMap.builder()
          .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
          .set(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_READ_BYTES)
          .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_TIMEOUT_MILLIS)
          .set(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
          .getMap();

  private static final OptionMap LISTENER_OPTIONS =
      OptionMap.builder()
          .set(Options.TCP_NODELAY, true)
          .set(Options.REUSE_ADDRESSES, true)
          .set(Options.BACKLOG, 1_000)
          .getMap();

  /** I/O threads of the connections; owned by the creator of this object. */
  private final XnioWorker worker;

  /** Pool of network buffers. */
  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);

  /** Handles HTTP on accepted connections. */
  private final HttpOpenListener http = new HttpOpenListener(buffers, HTTP_OPTIONS);

  /** State of the graceful shutdown. */
  private final ShutdownState shutdown = new ShutdownState();

  /** Accepts connections. */
  private final AcceptingChannel<StreamConnection> listener;

  /**
   * Starts the server.
   *
   * @param worker I/O threads of the connections; not closed by the server
   * @param address address to listen on; port 0 lets the operating system choose
   * @param configuration current configuration
   * @param runner runs the requests
   * @param keys creates idempotency keys
   * @param metrics metrics of the requests
   * @param time source of monotonic time
   * @throws IOException when the address cannot be bound
   */
  public EntryServer(
      final XnioWorker worker,
      final InetSocketAddress address,
      final ConfigurationView configuration,
      final RequestRunner runner,
      final KeyGenerator keys,
      final EntryMetrics metrics,
      final TimeSource time)
      throws IOException {
    this.worker = worker;
    http.setRootHandler(
        new HttpContinueReadHandler(
            new EntryHandler(configuration, runner, keys, metrics, time, shutdown)));
    listener =
        worker.createStreamConnectionServer(
            address, ChannelListeners.openListenerAdapter(http), LISTENER_OPTIONS);
    listener.resumeAccepts();
  }

  /**
   * Returns the address that the server listens on.
   *
   * @return the address with the actual port
   */
  public InetSocketAddress address() {
    return listener.getLocalAddress(InetSocketAddress.class);
  }

  /**
   * Returns whether the load balancer may send new connections.
   *
   * @return false once a shutdown has begun
   */
  public boolean isReady() {
    return !shutdown.isStopping();
  }

  /**
   * Returns how many requests are being received, run or answered.
   *
   * @return the number of requests
   */
  public int inFlight() {
    return shutdown.inFlight();
  }

  /**
   * Shuts down without interrupting a request: reports not ready, accepts requests until the grace
   * period has passed, then refuses connections and lets the requests in flight complete.
   *
   * @param graceMillis grace period in ms, in which the load balancer detects that the daemon is
   *     not ready
   * @return completes when no request is left
   */
  public CompletableFuture<Void> stopGracefully(final long graceMillis) {
    shutdown.beginShutdown();
    worker.getIoThread().executeAfter(this::rejectRequests, graceMillis, TimeUnit.MILLISECONDS);
    return shutdown.completion();
  }

  @Override
  public void close() {
    IoUtils.safeClose(listener);
    http.closeConnections();
  }

  private void rejectRequests() {
    // Requests are rejected before the listener closes, so that no request on an open connection is
    // accepted once connections are refused.
    shutdown.rejectRequests();
    IoUtils.safeClose(listener);
  }
}
