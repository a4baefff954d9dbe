package org.lentilsail.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.lentilsail.config.ConfigurationView;
import org.lentilsail.http.HttpField;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.time.TimeSource;
import org.tinylog.Logger;

/** Handles requests of callers; never blocks. */
final class EntryHandler implements HttpHandler {
  /** Maximum size in bytes of a request body. */
  private static final int BODY_LIMIT_BYTES = 1024 * 1024;

  /** First path segment of the endpoints of lentilsail itself. */
  private static final String OWN_PATH_SEGMENT = "lentilsail";

  /** Maximum number of keys in one response. */
  private static final int MAX_KEYS = 1_000;

  /**
   * Metric label of requests to services that do not exist, so that callers cannot create labels.
   */
  private static final String UNKNOWN_SERVICE_LABEL = "none";

  private static final ObjectMapper JSON = new ObjectMapper();

  private final ConfigurationView configuration;

  /** Runs the requests. */
  private final RequestRunner runner;

  /** Creates idempotency keys. */
  private final KeyGenerator keys;

  /** Metrics of the requests. */
  private final EntryMetrics metrics;

  /** Source of monotonic time. */
  private final TimeSource time;

  /** Errors that depend on the state of this daemon, not on the request alone. */
  private static final Set<ErrorCode> DAEMON_STATE_ERRORS =
      Set.of(ErrorCode.NO_CONFIGURATION, ErrorCode.NOT_FOUND, ErrorCode.STOPPING);

  /** State of the graceful shutdown. */
  private final ShutdownState shutdown;

  EntryHandler(
      final ConfigurationView configuration,
      final RequestRunner runner,
      final KeyGenerator keys,
      final EntryMetrics metrics,
      final TimeSource time,
      final ShutdownState shutdown) {
    this.configuration = configuration;
    this.runner = runner;
    this.keys = keys;
    this.metrics = metrics;
    this.time = time;
    this.shutdown = shutdown;
  }

  @Override
  public void handleRequest(final HttpServerExchange exchange) {
    shutdown.requestStarted();
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          shutdown.requestEnded();
          next.proceed();
        });
    final Receiver receiver = exchange.getRequestReceiver();
    receiver.receiveFullBytes(
        (received, body) ->
            received.dispatch(SameThreadExecutor.INSTANCE, () -> accept(received, body)),
        EntryHandler::rejectBody);
  }

  private static void rejectBody(final HttpServerExchange exchange, final IOException error) {
    if (error instanceof RequestTooBigException) {
      exchange.setPersistent(false);
      write(exchange, ErrorResponses.of(tooLarge(), Outcome.NOT_RUN));
    } else {
      exchange.endExchange();
    }
  }

  private static LentilsailException tooLarge() {
    return new LentilsailException(
        ErrorCode.TOO_LARGE,
        "the request body is larger than " + BODY_LIMIT_BYTES + " bytes",
        "send a smaller body");
  }

  private void accept(final HttpServerExchange exchange, final byte[] body) {
    final long startNanos = time.nanos();
    String label = UNKNOWN_SERVICE_LABEL;
    CompletableFuture<EntryResponse> response;
    try {
      if (shutdown.isRejecting()) {
        throw new LentilsailException(
            ErrorCode.STOPPING,
            "this daemon is shutting down",
            "repeat the request over a new connection");
      }
      if (body.length > BODY_LIMIT_BYTES) {
        throw tooLarge();
      }
      if (RequestParser.service(exchange).equals(OWN_PATH_SEGMENT)) {
        response = CompletableFuture.completedFuture(handleOwnPath(exchange));
      } else {
        final EntryRequest request =
            RequestParser.parse(exchange, body, configuration.current(), startNanos);
        label = request.service();
        response = runner.run(request);
      }
    } catch (final LentilsailException rejection) {
      response =
          CompletableFuture.completedFuture(
              ErrorResponses.of(rejection, outcome(exchange, rejection)));
    }
    respondWhenComplete(exchange, response, label, startNanos);
  }

  /**
   * Returns the outcome of a rejected request. The outcome of a keyed request covers all attempts:
   * when only the state of this daemon prevents the request, an earlier attempt may have run
   * through another daemon.
   */
  private static Outcome outcome(
      final HttpServerExchange exchange, final LentilsailException rejection) {
    final boolean keyed = exchange.getRequestHeaders().contains("Idempotency-Key");
    return keyed && DAEMON_STATE_ERRORS.contains(rejection.code())
        ? Outcome.UNKNOWN
        : Outcome.NOT_RUN;
  }

  private void respondWhenComplete(
      final HttpServerExchange exchange,
      final CompletableFuture<EntryResponse> response,
      final String label,
      final long startNanos) {
    final AtomicReference<DisconnectWatch> watch = new AtomicReference<>();
    if (!response.isDone()) {
      watch.set(DisconnectWatch.start(exchange, () -> response.cancel(true)));
    }
    response.whenComplete(
        (complete, error) -> {
          final EntryResponse written = error == null ? complete : unexpectedError(error);
          metrics.recordRequest(label, written.outcome(), time.nanos() - startNanos);
          final Runnable task = () -> respond(exchange, watch.get(), written);
          if (exchange.isInIoThread()) {
            task.run();
          } else {
            exchange.getIoThread().execute(task);
          }
        });
  }

  private static EntryResponse unexpectedError(final Throwable error) {
    if (!(error instanceof CancellationException)) {
      Logger.error(error, "entry: a request failed with an unexpected error");
    }
    return ErrorResponses.of(error, Outcome.UNKNOWN);
  }

  private void respond(
      final HttpServerExchange exchange,
      final DisconnectWatch watch,
      final EntryResponse response) {
    if (watch != null) {
      watch.stop();
    }
    if (!exchange.getConnection().isOpen()) {
      exchange.endExchange();
      return;
    }
    if (shutdown.isStopping() || requestsClose(exchange)) {
      exchange.setPersistent(false);
    }
    write(exchange, response);
  }

  /** Undertow recognises {@code Connection: close} only when it is the sole option of the field. */
  private static boolean requestsClose(final HttpServerExchange exchange) {
    final HeaderValues values = exchange.getRequestHeaders().get(Headers.CONNECTION);
    return values != null
        && values.stream()
            .flatMap(value -> Arrays.stream(value.split(",")))
            .anyMatch(option -> option.trim().equalsIgnoreCase("close"));
  }

  private static void write(final HttpServerExchange exchange, final EntryResponse response) {
    exchange.setStatusCode(response.status());
    for (final HttpField field : response.fields()) {
      exchange.getResponseHeaders().add(new HttpString(field.name()), field.value());
    }
    exchange.getResponseHeaders().put(new HttpString(Outcome.FIELD), response.outcome().text());
    if (exchange.getRequestMethod().equals(Methods.HEAD) || response.body().length == 0) {
      exchange.endExchange();
    } else {
      exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, response.body().length);
      exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
    }
  }

  private EntryResponse handleOwnPath(final HttpServerExchange exchange) {
    if (!exchange.getRequestPath().equals("/lentilsail/keys")
        || !exchange.getRequestMethod().equals(Methods.POST)) {
      throw new LentilsailException(
          ErrorCode.NOT_FOUND,
          exchange.getRequestMethod() + " " + exchange.getRequestPath() + " does not exist",
          "use POST /lentilsail/keys?count=N");
    }
    final List<String> created = keys.generate(count(exchange.getQueryParameters()));
    if (created.isEmpty()) {
      throw new LentilsailException(
          ErrorCode.NO_CONFIGURATION,
          "this daemon currently owns no range of keys",
          "repeat the request in a few seconds or create UUIDv7 keys yourself");
    }
    final byte[] body =
        JSON.valueToTree(Map.of("keys", created)).toString().getBytes(StandardCharsets.UTF_8);
    return new EntryResponse(
        Outcome.RAN, 200, List.of(new HttpField("Content-Type", "application/json")), body);
  }

  private static int count(final Map<String, Deque<String>> parameters) {
    final Deque<String> values = parameters.get("count");
    int result = 0;
    try {
      result = values == null ? 1 : Integer.parseInt(values.getFirst());
    } catch (final NumberFormatException error) {
      // The result stays 0 and is rejected below.
    }
    if (result < 1 || result > MAX_KEYS) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT,
          "count is not a whole number from 1 to " + MAX_KEYS,
          "ask for fewer keys at a time");
    }
    return result;
  }
}
