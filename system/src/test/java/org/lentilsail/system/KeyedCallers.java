package org.lentilsail.system;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.lentilsail.http.HttpField;
import org.lentilsail.http.HttpResponse;
import org.lentilsail.idempotency.IdempotencyKey;
import org.lentilsail.standin.load.RequestAttempt;

/**
 * Concurrent callers that send each POST with an idempotency key through several entry daemons, one
 * after the other.
 */
final class KeyedCallers {
  /** Pause of a caller between two keys, to limit the request rate. */
  private static final Duration KEY_INTERVAL = Duration.ofMillis(100);

  private final LocalHttpClient httpClient;
  private final Supplier<List<Integer>> ports;
  private final int attemptsPerKey;
  private final int runMillis;
  private final Duration timeout;
  private final Queue<RequestAttempt> attempts = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean running = true;

  KeyedCallers(
      final LocalHttpClient httpClient,
      final Supplier<List<Integer>> ports,
      final int attemptsPerKey,
      final int runMillis,
      final Duration timeout) {
    this.httpClient = httpClient;
    this.ports = ports;
    this.attemptsPerKey = attemptsPerKey;
    this.runMillis = runMillis;
    this.timeout = timeout;
  }

  void start(final int callers) {
    for (int i = 0; i < callers; i++) {
      final int caller = i;
      final Thread thread = new Thread(() -> call(caller), "caller-" + caller);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  int count() {
    return attempts.size();
  }

  List<RequestAttempt> stop() throws InterruptedException {
    running = false;
    for (final Thread thread : threads) {
      thread.join();
    }
    return List.copyOf(attempts);
  }

  static Map<String, Long> countByOutcome(final List<RequestAttempt> attempts) {
    return attempts.stream()
        .collect(Collectors.groupingBy(RequestAttempt::outcome, Collectors.counting()));
  }

  private void call(final int caller) {
    final Random random = new Random(caller);
    for (int i = 0; running; i++) {
      final String id = "caller-" + caller + "-" + i;
      final IdempotencyKey key = IdempotencyKey.create(System.currentTimeMillis(), random);
      final List<Integer> shuffledPorts = new ArrayList<>(ports.get());
      Collections.shuffle(shuffledPorts, random);
      for (int attempt = 0; attempt < attemptsPerKey && attempt < shuffledPorts.size(); attempt++) {
        attempts.add(send(shuffledPorts.get(attempt), id, key.uuid().toString()));
      }
      LockSupport.parkNanos(KEY_INTERVAL.toNanos());
    }
  }

  private RequestAttempt send(final int port, final String id, final String key) {
    RequestAttempt result;
    try {
      final HttpResponse response =
          httpClient.send(
              port, "POST", "/booking/charges", fields(id, key), "body of " + id, timeout);
      final boolean intact =
          response.field("Standin-Id").orElse("").equals(id)
              && new String(response.body(), StandardCharsets.UTF_8).equals("body of " + id);
      result =
          new RequestAttempt(
              id,
              key,
              response.field("Lentilsail-Outcome").orElse("none"),
              response.status(),
              intact);
    } catch (final RuntimeException error) {
      result = new RequestAttempt(id, key, "none", 0, false);
    }
    return result;
  }

  private List<HttpField> fields(final String id, final String key) {
    return List.of(
        new HttpField("Idempotency-Key", key),
        new HttpField("Standin-Id", id),
        new HttpField("Standin-Run-Millis", Integer.toString(runMillis)));
  }
}
