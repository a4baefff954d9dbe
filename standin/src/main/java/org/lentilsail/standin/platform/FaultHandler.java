package org.lentilsail.standin.platform;

import io.undertow.server.Connectors;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.lentilsail.model.error.ErrorCode;
import org.xnio.IoUtils;

/** Counts the requests of clients and applies the faults in effect for them. */
final class FaultHandler implements HttpHandler {
  /** Header field with the name of the client. */
  static final String CLIENT_FIELD = "Lentilsail-Daemon";

  /** Path prefix of the API for daemons; only its requests are counted and subject to faults. */
  private static final String API_PREFIX = "/v1/";

  /** Path of the counts; requests for them are neither counted nor subject to faults. */
  private static final String COUNTS_PATH = "/v1/calls";

  private final HttpHandler next;

  private final FaultTable faults;

  private final CallCounter counter;

  FaultHandler(final HttpHandler next, final FaultTable faults, final CallCounter counter) {
    this.next = next;
    this.faults = faults;
    this.counter = counter;
  }

  static String client(final HttpServerExchange exchange) {
    final String name = exchange.getRequestHeaders().getFirst(new HttpString(CLIENT_FIELD));
    return name == null ? "unnamed" : name;
  }

  @Override
  public void handleRequest(final HttpServerExchange exchange) throws Exception {
    final String path = exchange.getRequestPath();
    if (!path.startsWith(API_PREFIX) || path.equals(COUNTS_PATH)) {
      next.handleRequest(exchange);
      return;
    }
    final Fault fault = faults.of(client(exchange));
    if (fault.mode() == FaultMode.DOWN) {
      IoUtils.safeClose(exchange.getConnection());
      return;
    }
    counter.count(kind(exchange), client(exchange));
    switch (fault.mode()) {
      case SLOW -> delay(exchange, fault.delayMillis());
      case REFUSE_WRITES -> refuseWrite(exchange);
      case LOSE_REPLIES -> {
        exchange.putAttachment(Replies.LOST, true);
        next.handleRequest(exchange);
      }
      case LOSE_WRITE_REPLIES -> {
        if (!exchange.getRequestMethod().equals(Methods.GET)) {
          exchange.putAttachment(Replies.LOST, true);
        }
        next.handleRequest(exchange);
      }
      default -> next.handleRequest(exchange);
    }
  }

  private void delay(final HttpServerExchange exchange, final long millis) {
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () ->
            exchange
                .getIoThread()
                .executeAfter(
                    () -> Connectors.executeRootHandler(next, exchange),
                    millis,
                    TimeUnit.MILLISECONDS));
  }

  private void refuseWrite(final HttpServerExchange exchange) throws Exception {
    if (exchange.getRequestMethod().equals(Methods.GET)) {
      next.handleRequest(exchange);
    } else {
      Replies.sendError(
          exchange, ErrorCode.PLATFORM_UNAVAILABLE, "writes are refused by an injected fault");
    }
  }

  /**
   * Returns the kind under which a request is counted: its method and resource, for example {@code
   * get-kv}, with the suffix {@code -one} for a single item.
   */
  private static String kind(final HttpServerExchange exchange) {
    final String[] parts = exchange.getRequestPath().split("/");
    final String method = exchange.getRequestMethod().toString().toLowerCase(Locale.ROOT);
    return parts.length > 2 ? method + "-" + parts[2] + (parts.length > 3 ? "-one" : "") : method;
  }
}
