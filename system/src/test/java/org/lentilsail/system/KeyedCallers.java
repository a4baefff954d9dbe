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
import org.lentilsail.standin.load.Try;

/** Callers that send each keyed POST through several entry daemons, one after the other. */
final class KeyedCallers {
  /** Pause of a caller between two keys, which bounds the rate. */
  private static final Duration PAUSE = Duration.ofMillis(100);

  private final LocalHttpClient web;
  private final Supplier<List<Integer>> ports;
  private final int triesPerKey;
  private final int runMillis;
  private final Duration timeout;
  private final Queue<Try> tries = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean running = true;

  KeyedCallers(
      final LocalHttpClient web,
      final Supplier<List<Integer>> ports,
      final int triesPerKey,
      final int runMillis,
      final Duration timeout) {
    this.web = web;
    this.ports = ports;
    this.triesPerKey = triesPerKey;
    this.runMillis = runMillis;
    this.timeout = timeout;
  }

  void start(final int callers) {
    for (int i = 0; i < callers; i++) {
      final int number = i;
      final Thread thread = new Thread(() -> call(number), "caller-" + number);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  int count() {
    return tries.size();
  }

  List<Try> stop() throws InterruptedException {
    running = false;
    for (final Thread thread : threads) {
      thread.join();
    }
    return List.copyOf(tries);
  }

  static Map<String, Long> countByOutcome(final List<Try> tries) {
    return tries.stream().collect(Collectors.groupingBy(Try::outcome, Collectors.counting()));
  }

  private void call(final int caller) {
    final Random random = new Random(caller);
    for (int i = 0; running; i++) {
      final String id = "caller-" + caller + "-" + i;
      final IdempotencyKey key = IdempotencyKey.create(System.currentTimeMillis(), random);
      final List<Integer> order = new ArrayList<>(ports.get());
      Collections.shuffle(order, random);
      for (int number = 0; number < triesPerKey && number < order.size(); number++) {
        tries.add(send(order.get(number), id, key.uuid().toString()));
      }
      LockSupport.parkNanos(PAUSE.toNanos());
    }
  }

  private Try send(final int port, final String id, final String key) {
    Try result;
    try {
      final HttpResponse response =
          web.send(port, "POST", "/booking/charges", fields(id, key), "body of " + id, timeout);
      final boolean intact =
          response.field("Standin-Id").orElse("").equals(id)
              && new String(response.body(), StandardCharsets.UTF_8).equals("body of " + id);
      result =
          new Try(
              id,
              key,
              response.field("Lentilsail-Outcome").orElse("none"),
              response.status(),
              intact);
    } catch (final RuntimeException error) {
      result = new Try(id, key, "none", 0, false);
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
