package org.lentilsail.standin.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.xnio.IoUtils;

/** Writes the responses of a backend server. */
final class Responses {
  /** Header field with the id that the load tool assigned. */
  static final HttpString ID = new HttpString("Standin-Id");

  /** Header field with the proof that a request did not run. */
  private static final HttpString OUTCOME = new HttpString("Lentilsail-Outcome");

  /** Status of an injected failure. */
  private static final int FAILED = 500;

  /** Status of requests that are rejected while draining. */
  private static final int UNAVAILABLE = 503;

  /** Number of bytes by which a truncated response is shorter than its stated length. */
  private static final int MISSING_BYTES = 10;

  private static final ObjectMapper JSON = new ObjectMapper();

  private Responses() {}

  /** Responds to a request that has run, with its injected fault. */
  static void answer(final BackendRequest request) {
    final HttpServerExchange exchange = request.exchange();
    exchange.getResponseHeaders().put(ID, request.id());
    switch (request.failure()) {
      case HANG -> IoUtils.safeClose(exchange.getConnection());
      case CLOSE_IN_MIDDLE -> sendTruncated(request);
      case FAIL_ALL -> {
        exchange.setStatusCode(FAILED);
        exchange.getResponseSender().send("injected failure of the backend server\n");
      }
      default -> exchange.getResponseSender().send(ByteBuffer.wrap(request.body()));
    }
  }

  static void reject(final HttpServerExchange exchange) {
    exchange.setStatusCode(UNAVAILABLE);
    exchange.getResponseHeaders().put(OUTCOME, "not-run");
    exchange.getResponseSender().send("the backend server is draining\n");
  }

  static void json(final HttpServerExchange exchange, final Object value) {
    try {
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
      exchange.getResponseSender().send(JSON.writeValueAsString(value) + "\n");
    } catch (final JsonProcessingException error) {
      throw new IllegalStateException("value cannot be written as JSON", error);
    }
  }

  private static void sendTruncated(final BackendRequest request) {
    final HttpServerExchange exchange = request.exchange();
    exchange
        .getResponseHeaders()
        .put(Headers.CONTENT_LENGTH, request.body().length + MISSING_BYTES);
    exchange
        .getResponseSender()
        .send(
            ByteBuffer.wrap(Arrays.copyOf(request.body(), request.body().length + 1)),
            new IoCallback() {
              @Override
              public void onComplete(final HttpServerExchange sent, final Sender sender) {
                IoUtils.safeClose(sent.getConnection());
              }

              @Override
              public void onException(
                  final HttpServerExchange sent, final Sender sender, final IOException error) {
                IoUtils.safeClose(sent.getConnection());
              }
            });
  }
}
