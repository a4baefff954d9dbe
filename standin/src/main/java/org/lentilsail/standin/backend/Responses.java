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
  /** Field with the id that the load tool gave. */
  static final HttpString ID = new HttpString("Standin-Id");

  /** Field with the proof that a request did not run. */
  private static final HttpString OUTCOME = new HttpString("Lentilsail-Outcome");

  /** Status of a failed run. */
  private static final int FAILED = 500;

  /** Status of a refusal while draining. */
  private static final int UNAVAILABLE = 503;

  /** Bytes by which a response that is broken off falls short of its stated length. */
  private static final int MISSING_BYTES = 10;

  /** Writes JSON. */
  private static final ObjectMapper JSON = new ObjectMapper();

  private Responses() {}

  /** Answers a request that has run, with the fault that it meets. */
  static void answer(final BackendRequest work) {
    final HttpServerExchange exchange = work.exchange();
    exchange.getResponseHeaders().put(ID, work.id());
    switch (work.failure()) {
      case HANG -> IoUtils.safeClose(exchange.getConnection());
      case CLOSE_IN_MIDDLE -> breakOff(work);
      case FAIL_ALL -> {
        exchange.setStatusCode(FAILED);
        exchange.getResponseSender().send("the backend server was asked to fail\n");
      }
      default -> exchange.getResponseSender().send(ByteBuffer.wrap(work.body()));
    }
  }

  static void refuse(final HttpServerExchange exchange) {
    exchange.setStatusCode(UNAVAILABLE);
    exchange.getResponseHeaders().put(OUTCOME, "not-run");
    exchange.getResponseSender().send("the backend server drains\n");
  }

  static void json(final HttpServerExchange exchange, final Object value) {
    try {
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
      exchange.getResponseSender().send(JSON.writeValueAsString(value) + "\n");
    } catch (final JsonProcessingException error) {
      throw new IllegalStateException("value cannot be written as JSON", error);
    }
  }

  private static void breakOff(final BackendRequest work) {
    final HttpServerExchange exchange = work.exchange();
    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, work.body().length + MISSING_BYTES);
    exchange
        .getResponseSender()
        .send(
            ByteBuffer.wrap(Arrays.copyOf(work.body(), work.body().length + 1)),
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
