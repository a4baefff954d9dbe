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

/** Handles the requests to a backend server and the control commands to the stand-in. */
final class BackendHandler implements HttpHandler {
  /** Path prefix of control commands to the stand-in. */
  private static final String CONTROL_PREFIX = "/standin/";

  /** Header field with the run time of the request in ms. */
  private static final HttpString RUN_MILLIS = new HttpString("Standin-Run-Millis");

  /** Header field with the idempotency key. */
  private static final HttpString KEY = new HttpString("Idempotency-Key");

  private static final int NOT_FOUND = 404;

  private static final int BAD_REQUEST = 400;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final BackendSettings settings;

  private final RunQueue queue;

  private final Journal journal;

  private final Runnable reboot;

  /** The injected fault in effect. */
  private volatile Failure failure = Failure.NONE;

  /** The injected fault that takes effect at the next reboot. */
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
    if (exchange.getRequestPath().startsWith(CONTROL_PREFIX)) {
      control(exchange, body);
    } else {
      run(exchange, body);
    }
  }

  private void run(final HttpServerExchange exchange, final byte[] body) {
    final Failure current = failure;
    final FailureMode mode = current.draw(ThreadLocalRandom.current());
    if (mode == FailureMode.CLOSE_BEFORE) {
      IoUtils.safeClose(exchange.getConnection());
      return;
    }
    final boolean delayed = mode == FailureMode.LATE || mode == FailureMode.HANG;
    final String requestedMillis = field(exchange, RUN_MILLIS);
    final long runMillis =
        (requestedMillis.isEmpty() ? settings.runMillis() : Long.parseLong(requestedMillis))
            + (delayed ? current.delayMillis() : 0);
    final BackendRequest request =
        new BackendRequest(
            exchange, body, field(exchange, KEY), field(exchange, Responses.ID), runMillis, mode);
    if (!queue.offer(request)) {
      Responses.reject(exchange);
    }
  }

  private void control(final HttpServerExchange exchange, final byte[] body) {
    final String command =
        exchange.getRequestMethod()
            + " "
            + exchange.getRequestPath().substring(CONTROL_PREFIX.length());
    switch (command) {
      case "GET status" -> Responses.json(exchange, queue.status());
      case "GET journal" -> Responses.json(exchange, journal.view());
      case "POST drain" -> drain(exchange, true);
      case "POST undrain" -> drain(exchange, false);
      case "POST failure" -> setFailure(exchange, body, false);
      case "POST failure-after-reboot" -> setFailure(exchange, body, true);
      case "POST reboot" -> reboot(exchange);
      default -> {
        exchange.setStatusCode(NOT_FOUND);
        exchange.getResponseSender().send("no such command: " + command + "\n");
      }
    }
  }

  private void drain(final HttpServerExchange exchange, final boolean value) {
    queue.drain(value);
    Responses.json(exchange, queue.status());
  }

  private void setFailure(
      final HttpServerExchange exchange, final byte[] body, final boolean afterReboot) {
    try {
      final Failure requested = JSON.readValue(body, Failure.class);
      if (afterReboot) {
        failureAfterReboot = requested;
      } else {
        failure = requested;
      }
      Responses.json(exchange, requested);
    } catch (final IOException error) {
      exchange.setStatusCode(BAD_REQUEST);
      exchange.getResponseSender().send(error.getMessage() + "\n");
    }
  }

  /** Responds first, because the reboot also closes this connection. */
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
