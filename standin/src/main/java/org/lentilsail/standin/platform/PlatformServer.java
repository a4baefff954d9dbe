package org.lentilsail.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.lentilsail.http.UndertowHttpCaller;
import org.lentilsail.model.time.TimeSource;
import org.tinylog.Logger;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Serves the platform's HTTP API from memory. */
public final class PlatformServer implements AutoCloseable {
  /** Time in ms between two checks for expired leases and for watches whose wait is over. */
  private static final long CHECK_INTERVAL_MILLIS = 20;

  /** Maximum size of a request body; reading a larger one is aborted. */
  private static final long MAX_BODY_BYTES = 4L * 1024 * 1024;

  private static final int IO_THREADS = 2;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final PlatformSettings settings;

  private final FaultTable faults = new FaultTable();

  private final CallCounter counter = new CallCounter();

  private final KeyValueStore store;

  private final WatchHub watches;

  /** I/O threads of the requests to VMs. */
  private final XnioWorker worker;

  private final UndertowHttpCaller http;

  /** Runs the periodic checks and the polls of the VMs. */
  private final ScheduledExecutorService timer;

  private final Undertow server;

  /**
   * Starts the stand-in.
   *
   * @param settings the settings
   * @throws IOException when threads cannot be created
   */
  public PlatformServer(final PlatformSettings settings) throws IOException {
    this.settings = settings;
    final TimeSource time = TimeSource.system();
    store = new KeyValueStore(time, settings.changeLog());
    watches = new WatchHub(store, faults, time);
    worker =
        Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, IO_THREADS));
    http = new UndertowHttpCaller(worker, time);
    final VmTable table = new VmTable(settings, time);
    final VmClient client = new VmClient(http, table);
    final RoutingHandler routes = Handlers.routing();
    new KeyValueRoutes(store, watches, time).addTo(routes);
    new VmRoutes(table, client).addTo(routes);
    routes.get("/v1/calls", exchange -> Replies.send(exchange, 200, counter.totals()));
    routes.post("/standin/faults", this::setFault);
    final int colon = settings.listen().lastIndexOf(':');
    server =
        Undertow.builder()
            .addHttpListener(
                Integer.parseInt(settings.listen().substring(colon + 1)),
                settings.listen().substring(0, colon))
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(1)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
            .setHandler(new FaultHandler(routes, faults, counter))
            .build();
    server.start();
    timer = Executors.newSingleThreadScheduledExecutor();
    startTimers(client);
    Logger.info("platform: listening on {}", address());
  }

  /**
   * Returns the address at which the stand-in listens.
   *
   * @return the address with the actual port
   */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.stop();
    http.close();
    worker.shutdownNow();
  }

  private void startTimers(final VmClient client) {
    timer.scheduleWithFixedDelay(
        () -> {
          store.expire();
          watches.wake();
        },
        CHECK_INTERVAL_MILLIS,
        CHECK_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    timer.scheduleWithFixedDelay(
        () -> settings.vms().forEach(client::poll),
        0,
        settings.pollMillis(),
        TimeUnit.MILLISECONDS);
  }

  private void setFault(final HttpServerExchange exchange) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes((call, bytes) -> Replies.attempt(call, () -> setFault(call, bytes)));
  }

  private void setFault(final HttpServerExchange exchange, final byte[] bytes) {
    final JsonNode body;
    try {
      body = JSON.readTree(bytes);
    } catch (final IOException error) {
      throw new IllegalArgumentException("body is not JSON: " + error.getMessage(), error);
    }
    faults.set(
        body.path("client").asText(FaultTable.EVERYONE),
        new Fault(FaultMode.of(body.path("mode").asText()), body.path("delayMillis").asLong()));
    watches.wake();
    Replies.send(exchange, 200, Replies.object());
  }
}
