package org.lentilsail.admin;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.tinylog.Logger;

/** Runs a route on a worker thread and sends its result or its error response. */
final class JsonHandler implements HttpHandler {
  private static final int OK = 200;

  private final Route route;

  JsonHandler(final Route route) {
    this.route = route;
  }

  @Override
  public void handleRequest(final HttpServerExchange exchange) {
    exchange.dispatch(
        () -> {
          exchange.startBlocking();
          run(exchange);
        });
  }

  /** Sends a JSON body and ends the exchange. */
  static void send(final HttpServerExchange exchange, final int status, final JsonNode body) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(body.toString(), StandardCharsets.UTF_8);
  }

  /** Sends an error response and ends the exchange. */
  static void send(final HttpServerExchange exchange, final LentilsailException error) {
    send(exchange, error.code().httpStatus(), ErrorBody.of(error));
  }

  private void run(final HttpServerExchange exchange) {
    try {
      send(exchange, OK, route.handle(new AdminRequest(exchange)));
    } catch (final LentilsailException error) {
      send(exchange, error);
    } catch (final RuntimeException error) {
      Logger.error(error, "admin: request {} failed", exchange.getRequestPath());
      send(
          exchange,
          new LentilsailException(
              ErrorCode.INTERNAL,
              "the request failed: " + error,
              "report the failure with the log of the daemon"));
    }
  }
}
