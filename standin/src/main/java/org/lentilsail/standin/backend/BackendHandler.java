package org.lentilsail.standin.backend;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.util.concurrent.ThreadLocalRandom;
import org.xnio.IoUtils;

/** Takes the requests of a backend server and the orders to the stand-in. */
final class BackendHandler implements HttpHandler {
  /** Start of the paths of orders to the stand-in. */
  private static final String CONTROL = "/standin/";

  /** Field with the run time of the request in ms. */
  private static final HttpString RUN_MILLIS = new HttpString("Standin-Run-Millis");

  /** Field with the idempotency key. */
  private static final HttpString KEY = new HttpString("Idempotency-Key");

  /** Status of an order that does not exist. */
  private static final int NOT_FOUND = 404;

  /** Status of an order that is malformed. */
  private static final int BAD_REQUEST = 400;

  /** Reads orders. */
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Limits of the server. */
  private final BackendSettings settings;

  /** Runs the requests. */
  private final RunQueue queue;

  /** What ran. */
  private final Journal journal;

  /** Reboots the server. */
  private final Runnable reboot;

  /** The fault at present. */
  private volatile Failure failure = Failure.NONE;

  /** The fault from the next reboot on. */
  private volatile Failure failureAfterReboot = Failure.NONE;

  BackendHandler(
      final BackendSettings settings,
      final RunQueue queue,
      final Journal journal,
      final Runnable reboot) {
    this.settings = settings;
    this.queue = queue;
    this.journal = journal;
    this.reboot = reboot;
  }

  @Override
  public void handleRequest(final HttpServerExchange exchange) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (received, body) ->
                received.dispatch(SameThreadExecutor.INSTANCE, () -> handle(received, body)));
  }

  private void handle(final HttpServerExchange exchange, final byte[] body) {
    if (exchange.getRequestPath().startsWith(CONTROL)) {
      order(exchange, body);
    } else {
      run(exchange, body);
    }
  }

  private void run(final HttpServerExchange exchange, final byte[] body) {
    final Failure present = failure;
    final FailureMode met = present.draw(ThreadLocalRandom.current());
    if (met == FailureMode.CLOSE_BEFORE) {
      IoUtils.safeClose(exchange.getConnection());
      return;
    }
    final boolean delayed = met == FailureMode.LATE || met == FailureMode.HANG;
    final String asked = field(exchange, RUN_MILLIS);
    final long runMillis =
        (asked.isEmpty() ? settings.runMillis() : Long.parseLong(asked))
            + (delayed ? present.delayMillis() : 0);
    final BackendRequest work =
        new BackendRequest(
            exchange, body, field(exchange, KEY), field(exchange, Responses.ID), runMillis, met);
    if (!queue.offer(work)) {
      Responses.refuse(exchange);
    }
  }

  private void order(final HttpServerExchange exchange, final byte[] body) {
    final String order =
        exchange.getRequestMethod() + " " + exchange.getRequestPath().substring(CONTROL.length());
    switch (order) {
      case "GET status" -> Responses.json(exchange, queue.status());
      case "GET journal" -> Responses.json(exchange, journal.view());
      case "POST drain" -> drain(exchange, true);
      case "POST undrain" -> drain(exchange, false);
      case "POST failure" -> fail(exchange, body, false);
      case "POST failure-after-reboot" -> fail(exchange, body, true);
      case "POST reboot" -> reboot(exchange);
      default -> {
        exchange.setStatusCode(NOT_FOUND);
        exchange.getResponseSender().send("no such order: " + order + "\n");
      }
    }
  }

  private void drain(final HttpServerExchange exchange, final boolean value) {
    queue.drain(value);
    Responses.json(exchange, queue.status());
  }

  private void fail(
      final HttpServerExchange exchange, final byte[] body, final boolean afterReboot) {
    try {
      final Failure wanted = JSON.readValue(body, Failure.class);
      if (afterReboot) {
        failureAfterReboot = wanted;
      } else {
        failure = wanted;
      }
      Responses.json(exchange, wanted);
    } catch (final IOException error) {
      exchange.setStatusCode(BAD_REQUEST);
      exchange.getResponseSender().send(error.getMessage() + "\n");
    }
  }

  /** Answers first, because the reboot closes this connection too. */
  private void reboot(final HttpServerExchange exchange) {
    failure = failureAfterReboot;
    exchange
        .getResponseSender()
        .send(
            "{}\n",
            new IoCallback() {
              @Override
              public void onComplete(final HttpServerExchange sent, final Sender sender) {
                sent.endExchange();
                reboot.run();
              }

              @Override
              public void onException(
                  final HttpServerExchange sent, final Sender sender, final IOException error) {
                sent.endExchange();
                reboot.run();
              }
            });
  }

  private static String field(final HttpServerExchange exchange, final HttpString name) {
    final String value = exchange.getRequestHeaders().getFirst(name);
    return value == null ? "" : value;
  }
}
