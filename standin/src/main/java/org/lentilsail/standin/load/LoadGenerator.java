package org.lentilsail.standin.load;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.lentilsail.idempotency.IdempotencyKey;

/** Sends requests at a fixed rate, regardless of the response times. */
final class LoadGenerator {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private static final int PERCENT = 100;

  /** Significant decimal digits of the recorded latencies. */
  private static final int SIGNIFICANT_DIGITS = 3;

  private final LoadSettings settings;

  /** Selects keyed requests and repeats. */
  private final Random random;

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();

  private final Queue<RequestAttempt> attempts = new ConcurrentLinkedQueue<>();

  /** Time in ns from the planned start of a request to its response. */
  private final Histogram latencies = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

  /** Requests sent by this run. */
  private final List<CompletableFuture<Void>> requests = new ArrayList<>();

  /** Prefix of the request ids of this run, so that several runs can share backend servers. */
  private final String runId = UUID.randomUUID().toString();

  /** Index of the target of the next request. */
  private int nextTarget;

  LoadGenerator(final LoadSettings settings, final long seed) {
    this.settings = settings;
    this.random = new Random(seed);
  }

  List<RequestAttempt> attempts() {
    return List.copyOf(attempts);
  }

  Histogram latencies() {
    return latencies;
  }

  void run() {
    final long startNanos = System.nanoTime();
    for (int number = 0; number < settings.requests(); number++) {
      final long plannedNanos = startNanos + number * NANOS_PER_SECOND / settings.ratePerSecond();
      sleepUntil(plannedNanos);
      sendOne(runId + "-" + number, plannedNanos);
    }
    CompletableFuture.allOf(requests.toArray(CompletableFuture[]::new)).join();
  }

  private static void sleepUntil(final long nanos) {
    while (nanos - System.nanoTime() > 0) {
      LockSupport.parkNanos(nanos - System.nanoTime());
    }
  }

  private void sendOne(final String id, final long plannedNanos) {
    final boolean keyed = random.nextInt(PERCENT) < settings.keyedPercent();
    final String key =
        keyed ? IdempotencyKey.create(System.currentTimeMillis(), random).uuid().toString() : "";
    send(id, key, plannedNanos);
    if (keyed && random.nextInt(PERCENT) < settings.repeatPercent()) {
      send(id, key, plannedNanos);
    }
  }

  private void send(final String id, final String key, final long plannedNanos) {
    final InetSocketAddress target = settings.targets().get(nextTarget);
    nextTarget = (nextTarget + 1) % settings.targets().size();
    final byte[] body = key.isEmpty() ? new byte[0] : body(id);
    final HttpRequest.Builder request =
        HttpRequest.newBuilder(
                URI.create(
                    "http://"
                        + target.getHostString()
                        + ":"
                        + target.getPort()
                        + "/"
                        + settings.service()
                        + "/load"))
            .timeout(Duration.ofMillis(settings.timeoutMillis()))
            .header("Standin-Id", id)
            .header("Standin-Run-Millis", Long.toString(settings.runMillis()));
    if (key.isEmpty()) {
      request.GET();
    } else {
      request.header("Idempotency-Key", key).POST(HttpRequest.BodyPublishers.ofByteArray(body));
    }
    requests.add(
        client
            .sendAsync(request.build(), HttpResponse.BodyHandlers.ofByteArray())
            .handle(
                (response, error) -> {
                  latencies.recordValue(Math.max(0, System.nanoTime() - plannedNanos));
                  attempts.add(
                      response == null
                          ? new RequestAttempt(id, key, "none", 0, false)
                          : toAttempt(id, key, body, response));
                  return null;
                }));
  }

  private static RequestAttempt toAttempt(
      final String id, final String key, final byte[] body, final HttpResponse<byte[]> response) {
    final boolean intact =
        response.headers().firstValue("Standin-Id").orElse("").equals(id)
            && Arrays.equals(body, response.body());
    return new RequestAttempt(
        id,
        key,
        response.headers().firstValue("Lentilsail-Outcome").orElse("none"),
        response.statusCode(),
        intact);
  }

  private byte[] body(final String id) {
    final byte[] text = id.getBytes(StandardCharsets.US_ASCII);
    final byte[] result = new byte[Math.max(text.length, settings.bodyBytes())];
    for (int i = 0; i < result.length; i++) {
      result[i] = text[i % text.length];
    }
    return result;
  }

  static double millis(final long nanos) {
    return nanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
  }
}
