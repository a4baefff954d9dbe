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

/** Takes one request from a caller and writes its response; never blocks. */
final class EntryHandler implements HttpHandler {
  /** Most bytes of a request body. */
  private static final int BODY_LIMIT_BYTES = 1024 * 1024;

  /** First segment of the paths that belong to lentilsail itself. */
  private static final String OWN_PATH = "lentilsail";

  /** Most keys in one answer. */
  private static final int MAX_KEYS = 1_000;

  /** Label of requests to services that do not exist, so that callers cannot create labels. */
  private static final String NO_SERVICE = "none";

  /** Writes JSON. */
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Present configuration. */
  private final ConfigurationView configuration;

  /** Runs the requests. */
  private final RequestRunner runner;

  /** Creates keys. */
  private final KeyGenerator keys;

  /** Counts requests for operators. */
  private final EntryMetrics metrics;

  /** Clocks. */
  private final TimeSource time;

  /** Refusals that depend on the state of this daemon, not on the request alone. */
  private static final Set<ErrorCode> REFUSED_HERE_ONLY =
      Set.of(ErrorCode.NO_CONFIGURATION, ErrorCode.NOT_FOUND, ErrorCode.STOPPING);

  /** Tells how far the stop has come. */
  private final ShutdownState stop;

  EntryHandler(
      final ConfigurationView configuration,
      final RequestRunner runner,
      final KeyGenerator keys,
      final EntryMetrics metrics,
      final TimeSource time,
      final ShutdownState stop) {
    this.configuration = configuration;
    this.runner = runner;
    this.keys = keys;
    this.metrics = metrics;
    this.time = time;
    this.stop = stop;
  }

  @Override
  public void handleRequest(final HttpServerExchange exchange) {
    stop.requestStarted();
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          stop.requestEnded();
          next.proceed();
        });
    final Receiver receiver = exchange.getRequestReceiver();
    receiver.receiveFullBytes(
        (received, body) ->
            received.dispatch(SameThreadExecutor.INSTANCE, () -> accept(received, body)),
        EntryHandler::refuseBody);
  }

  private static void refuseBody(final HttpServerExchange exchange, final IOException error) {
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
    String label = NO_SERVICE;
    CompletableFuture<EntryResponse> response;
    try {
      if (stop.isRejecting()) {
        throw new LentilsailException(
            ErrorCode.STOPPING, "this daemon stops", "repeat the request over a new connection");
      }
      if (body.length > BODY_LIMIT_BYTES) {
        throw tooLarge();
      }
      if (RequestParser.service(exchange).equals(OWN_PATH)) {
        response = CompletableFuture.completedFuture(ownPath(exchange));
      } else {
        final EntryRequest request =
            RequestParser.parse(exchange, body, configuration.current(), startNanos);
        label = request.service();
        response = runner.run(request);
      }
    } catch (final LentilsailException refusal) {
      response =
          CompletableFuture.completedFuture(ErrorResponses.of(refusal, outcome(exchange, refusal)));
    }
    follow(exchange, response, label, startNanos);
  }

  /**
   * The outcome of a keyed request covers all attempts. When only the state of this daemon stands
   * against the request, an earlier attempt may have run through another daemon.
   */
  private static Outcome outcome(
      final HttpServerExchange exchange, final LentilsailException refusal) {
    final boolean keyed = exchange.getRequestHeaders().contains("Idempotency-Key");
    return keyed && REFUSED_HERE_ONLY.contains(refusal.code()) ? Outcome.UNKNOWN : Outcome.NOT_RUN;
  }

  private void follow(
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
          final EntryResponse written = error == null ? complete : unexpected(error);
          metrics.recordRequest(label, written.outcome(), time.nanos() - startNanos);
          final Runnable task = () -> respond(exchange, watch.get(), written);
          if (exchange.isInIoThread()) {
            task.run();
          } else {
            exchange.getIoThread().execute(task);
          }
        });
  }

  private static EntryResponse unexpected(final Throwable error) {
    if (!(error instanceof CancellationException)) {
      Logger.error(error, "entry: a request ended with an unexpected error");
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
    if (stop.isStopping() || asksToClose(exchange)) {
      exchange.setPersistent(false);
    }
    write(exchange, response);
  }

  /** Undertow knows {@code Connection: close} only when it is the sole option of the field. */
  private static boolean asksToClose(final HttpServerExchange exchange) {
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

  private EntryResponse ownPath(final HttpServerExchange exchange) {
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
          "this daemon owns no range of keys at present",
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
      // Stays 0 and is refused below.
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
