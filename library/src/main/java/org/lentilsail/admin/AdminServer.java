package org.lentilsail.admin;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import java.net.InetSocketAddress;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.tinylog.Logger;
import org.xnio.Options;

/** Serves the operators' HTTP interface. */
public final class AdminServer implements AutoCloseable {
  /**
   * Threads that handle commands. Each may block on the platform; the number is high enough that a
   * forced drain gets a thread immediately even during a platform outage.
   */
  private static final int WORKER_THREADS = 16;

  /** Maximum size of the request header in bytes. */
  private static final int HEADER_LIMIT_BYTES = 16 * 1024;

  /** Time in ms without received data after which a connection is closed. */
  private static final int IDLE_LIMIT_MILLIS = 10_000;

  /** HTTP status for a path that supports only other methods. */
  private static final int METHOD_NOT_ALLOWED = 405;

  private final Undertow server;

  /**
   * Starts the server.
   *
   * @param address address to listen on; port 0 lets the operating system choose a port
   * @param components components that the interface serves
   */
  public AdminServer(final InetSocketAddress address, final AdminComponents components) {
    server =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getHostString(), routes(components))
            .setIoThreads(1)
            .setWorkerThreads(WORKER_THREADS)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, HEADER_LIMIT_BYTES)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_LIMIT_MILLIS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, IDLE_LIMIT_MILLIS)
            .setSocketOption(Options.READ_TIMEOUT, IDLE_LIMIT_MILLIS)
            .build();
    server.start();
    Logger.info("admin: listening on {}", address());
  }

  /** Returns the address that the server listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
  }

  @Override
  public void close() {
    server.stop();
  }

  private static HttpHandler routes(final AdminComponents components) {
    final RecordRoutes records = new RecordRoutes(components);
    final ViewRoutes views = new ViewRoutes(components);
    final HealthRoutes health = new HealthRoutes(components);
    return new RoutingHandler(false)
        .get("/v1/records", new JsonHandler(records::list))
        .get("/v1/records/{kind}/{name}", new JsonHandler(records::read))
        .put("/v1/records/{kind}/{name}", new JsonHandler(records::put))
        .delete("/v1/records/{kind}/{name}", new JsonHandler(records::delete))
        .post("/v1/waves/{wave}/pause", new JsonHandler(records::pauseWave))
        .post("/v1/waves/{wave}/resume", new JsonHandler(records::resumeWave))
        .post("/v1/vms/{vm}/drain", new JsonHandler(records::drain))
        .post("/v1/vms/{vm}/return", new JsonHandler(records::returnVm))
        .get("/v1/waves/{wave}", new JsonHandler(views::wave))
        .get("/v1/fleet", new JsonHandler(views::fleet))
        .get("/v1/explain/vm/{vm}", new JsonHandler(views::explainVm))
        .get("/v1/explain/wave/{wave}", new JsonHandler(views::explainWave))
        .get("/v1/state", new JsonHandler(views::state))
        .get("/metrics", health::metrics)
        .get("/live", health::live)
        .get("/ready", health::ready)
        .setFallbackHandler(AdminServer::rejectPath)
        .setInvalidMethodHandler(AdminServer::rejectMethod);
  }

  private static void rejectPath(final HttpServerExchange exchange) {
    JsonHandler.send(
        exchange,
        new LentilsailException(
            ErrorCode.NOT_FOUND,
            "unknown path: " + exchange.getRequestPath(),
            "use a path of the operators' interface, such as /v1/records"));
  }

  private static void rejectMethod(final HttpServerExchange exchange) {
    JsonHandler.send(
        exchange,
        METHOD_NOT_ALLOWED,
        ErrorBody.of(
            new LentilsailException(
                ErrorCode.INVALID_INPUT,
                exchange.getRequestPath()
                    + " does not support method "
                    + exchange.getRequestMethod(),
                "use a method that the path supports")));
  }
}
