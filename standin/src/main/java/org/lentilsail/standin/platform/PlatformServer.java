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

/** Serves the platform's HTTP interface from memory. */
public final class PlatformServer implements AutoCloseable {
  /** Time in ms between two looks for lapsed leases and watches that are over. */
  private static final long TICK_MILLIS = 20;

  /** Most bytes of a request body; larger ones are cut off while they are read. */
  private static final long MAX_BODY_BYTES = 4L * 1024 * 1024;

  /** Threads for connections. */
  private static final int IO_THREADS = 2;

  /** Reads fault controls. */
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Settings. */
  private final PlatformSettings settings;

  /** Faults in force. */
  private final FaultTable faults = new FaultTable();

  /** Counts of the calls. */
  private final CallCounter counter = new CallCounter();

  /** The values. */
  private final KeyValueStore store;

  /** The watches. */
  private final WatchHub watches;

  /** Threads of the calls to VMs. */
  private final XnioWorker worker;

  /** Sends calls to VMs. */
  private final UndertowHttpCaller http;

  /** Runs the ticks and the looks at the VMs. */
  private final ScheduledExecutorService timer;

  /** The HTTP server. */
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
    final VmClient caller = new VmClient(http, table);
    final RoutingHandler routes = Handlers.routing();
    new KeyValueRoutes(store, watches, time).addTo(routes);
    new VmRoutes(table, caller).addTo(routes);
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
    startTimers(caller);
    Logger.info("platform: listens on {}", address());
  }

  /**
   * Returns where the stand-in listens.
   *
   * @return the address
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

  private void startTimers(final VmClient caller) {
    timer.scheduleWithFixedDelay(
        () -> {
          store.expire();
          watches.wake();
        },
        TICK_MILLIS,
        TICK_MILLIS,
        TimeUnit.MILLISECONDS);
    timer.scheduleWithFixedDelay(
        () -> settings.vms().forEach(caller::poll),
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
