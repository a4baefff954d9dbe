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

/** Counts the calls of clients and applies the faults that are in force for them. */
final class FaultHandler implements HttpHandler {
  /** Header field by which clients name themselves. */
  static final String CLIENT_FIELD = "Lentilsail-Daemon";

  /** Start of the paths of the daemons' interface. */
  private static final String INTERFACE = "/v1/";

  /** Path of the counts, which are not counted themselves. */
  private static final String CALLS = "/v1/calls";

  /** Handles the calls. */
  private final HttpHandler next;

  /** Faults in force. */
  private final FaultTable faults;

  /** Counts of the calls. */
  private final CallCounter counter;

  FaultHandler(final HttpHandler next, final FaultTable faults, final CallCounter counter) {
    this.next = next;
    this.faults = faults;
    this.counter = counter;
  }

  static String client(final HttpServerExchange exchange) {
    final String named = exchange.getRequestHeaders().getFirst(new HttpString(CLIENT_FIELD));
    return named == null ? "unnamed" : named;
  }

  @Override
  public void handleRequest(final HttpServerExchange exchange) throws Exception {
    final String path = exchange.getRequestPath();
    if (!path.startsWith(INTERFACE) || path.equals(CALLS)) {
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
      Replies.sendError(exchange, ErrorCode.PLATFORM_UNAVAILABLE, "writes are refused");
    }
  }

  private static String kind(final HttpServerExchange exchange) {
    final String[] parts = exchange.getRequestPath().split("/");
    final String method = exchange.getRequestMethod().toString().toLowerCase(Locale.ROOT);
    return parts.length > 2 ? method + "-" + parts[2] + (parts.length > 3 ? "-one" : "") : method;
  }
}
