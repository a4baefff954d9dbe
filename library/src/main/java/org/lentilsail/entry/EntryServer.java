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

  /** Size in bytes of a head that is cut off without a typed refusal. */
  private static final int MAX_HEAD_BYTES = 64 * 1024;

  /**
   * Size in bytes of a body that is cut off. Smaller ones over the limit of 1 MB are read to their
   * end before the refusal, because a close with unread data would reset the refusal.
   */
  private static final long MAX_READ_BYTES = 2L * 1024 * 1024;

  /** Time in ms that a head may take to arrive, so that slow callers do not hold connections. */
  private static final int HEAD_TIMEOUT_MILLIS = 10_000;

  /** Idle time in ms after which a kept connection is closed. */
  private static final int IDLE_TIMEOUT_MILLIS = 60_000;

  /** Options of HTTP. */
  private static final OptionMap HTTP_OPTIONS =
      OptionMap.builder()
          .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
          .set(UndertowOptions.MAX_ENTITY_SIZE, MAX_READ_BYTES)
          .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_TIMEOUT_MILLIS)
          .set(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
          .getMap();

  /** Options of the listener. */
  private static final OptionMap LISTENER_OPTIONS =
      OptionMap.builder()
          .set(Options.TCP_NODELAY, true)
          .set(Options.REUSE_ADDRESSES, true)
          .set(Options.BACKLOG, 1_000)
          .getMap();

  /** Threads that carry the traffic; owned by the creator of this object. */
  private final XnioWorker worker;

  /** Network buffers. */
  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);

  /** Speaks HTTP on new connections. */
  private final HttpOpenListener http = new HttpOpenListener(buffers, HTTP_OPTIONS);

  /** Tells how far the stop has come. */
  private final ShutdownState stop = new ShutdownState();

  /** Accepts connections. */
  private final AcceptingChannel<StreamConnection> listener;

  /**
   * Starts the server.
   *
   * @param worker threads that carry the traffic; not closed by the server
   * @param address where it listens; port 0 lets the operating system choose
   * @param configuration present configuration
   * @param runner runs the requests
   * @param keys creates idempotency keys
   * @param metrics counts requests for operators
   * @param time clocks
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
            new EntryHandler(configuration, runner, keys, metrics, time, stop)));
    listener =
        worker.createStreamConnectionServer(
            address, ChannelListeners.openListenerAdapter(http), LISTENER_OPTIONS);
    listener.resumeAccepts();
  }

  /**
   * Returns where the server listens.
   *
   * @return the address with the actual port
   */
  public InetSocketAddress address() {
    return listener.getLocalAddress(InetSocketAddress.class);
  }

  /**
   * Tells whether the balancer may send new connections.
   *
   * @return false from the begin of a stop
   */
  public boolean isReady() {
    return !stop.isStopping();
  }

  /**
   * Returns how many requests are being received, run or answered.
   *
   * @return the number of requests
   */
  public int inFlight() {
    return stop.inFlight();
  }

  /**
   * Stops without cutting off a request: reports not ready, takes requests until the grace has
   * passed, then refuses connections and lets the requests in flight end.
   *
   * @param graceMillis time in ms that the balancer needs to notice
   * @return completes when no request is left
   */
  public CompletableFuture<Void> stopGracefully(final long graceMillis) {
    stop.beginShutdown();
    worker.getIoThread().executeAfter(this::refuse, graceMillis, TimeUnit.MILLISECONDS);
    return stop.completion();
  }

  @Override
  public void close() {
    IoUtils.safeClose(listener);
    http.closeConnections();
  }

  private void refuse() {
    // In this order, no request on an open connection is taken once connections are refused.
    stop.rejectRequests();
    IoUtils.safeClose(listener);
  }
}
