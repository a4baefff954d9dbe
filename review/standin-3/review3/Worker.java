package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in of a worker that guards its capacity. It learns the steps of a job from the clients, as
 * the text of a job tells a worker what to run.
 */
final class Worker {
  private static final long HOLD_MAX_MILLIS = 6_000;
  private static final long HEARTBEAT_MILLIS = 1_500;

  private record Run(String task, int number, JsonNode step, long startedAt, long endsAt) {}

  private final String id;
  private final String service;
  private final String address;
  private final long cpu;
  private final Store store;
  private final Jobs jobs;
  private final Record record;
  private final Map<String, Integer> lifeOfConnection = new ConcurrentHashMap<>();
  private long born = System.currentTimeMillis();
  private long startedAt = System.nanoTime();
  private final Map<String, Run> runs = new LinkedHashMap<>();
  private final Map<String, Integer> highestEnded = new HashMap<>();
  private final List<Object[]> ended = new ArrayList<>();
  private long fence;
  private long leaseUntil;
  private long lastNumber;
  private long sequence;
  private boolean gone;
  private volatile int life = 1;
  private volatile boolean dark;
  private volatile long silentUntil;

  Worker(
      final String id,
      final String service,
      final long cpu,
      final Store store,
      final Jobs jobs,
      final Record record)
      throws IOException {
    this.id = id;
    this.service = service;
    this.cpu = cpu;
    this.store = store;
    this.jobs = jobs;
    this.record = record;
    this.address = Http.serve("127.0.0.1", this::handle);
    Http.run(this::beat);
    Http.run(this::work);
  }

  String id() {
    return id;
  }

  String service() {
    return service;
  }

  synchronized void terminate() {
    gone = true;
    runs.clear();
    store.remove("servers/" + id);
    notifyAll();
  }

  private long clock() {
    return (System.nanoTime() - startedAt) / 1_000_000 + 1;
  }

  private void beat() {
    while (true) {
      synchronized (this) {
        if (gone) {
          return;
        }
        while (dark || System.nanoTime() - silentUntil < 0) {
          waitFor(10);
        }
        final ObjectNode entry =
            Http.object()
                .put("Service", service)
                .put("Address", address)
                .put("Zone", "recife")
                .put("Version", "v1")
                .put("Slots", 8)
                .put("State", "ready")
                .put("ColdLeftMs", 0);
        entry.putObject("Capacity").put("Cpu", cpu).put("MemMb", 256_000).put("Gpu", 0);
        entry.putArray("Labels").add("a").add("r1-1");
        entry.put("ClockMs", clock()).put("Sequence", ++sequence).put("born", born);
        store.put("servers/" + id, Http.bytes(entry));
      }
      awaitNextBeat();
    }
  }

  private void awaitNextBeat() {
    final int beatOf = life;
    for (long waited = 0; waited < HEARTBEAT_MILLIS && beatOf == life; waited += 10) {
      Http.sleep(10);
    }
  }

  private void waitFor(final long millis) {
    try {
      wait(millis);
    } catch (final InterruptedException error) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Loses power and starts again under the same id. Calls in progress are never answered; a
   * connection of the life before is reset at the next call on it.
   */
  void restart(final long darkMillis, final long registerMillis) {
    synchronized (this) {
      dark = true;
      life++;
      for (final Run run : List.copyOf(runs.values())) {
        record.ended(id, run.task(), run.number(), "lost with its worker");
      }
      runs.clear();
      ended.clear();
      highestEnded.clear();
      fence = 0;
      leaseUntil = 0;
      lastNumber = 0;
      sequence = 0;
      notifyAll();
    }
    Http.sleep(darkMillis);
    synchronized (this) {
      born = System.currentTimeMillis();
      startedAt = System.nanoTime();
      silentUntil = startedAt + registerMillis * 1_000_000;
      dark = false;
    }
  }

  private void handle(final HttpExchange exchange) throws IOException {
    final String connection = exchange.getRemoteAddress().toString();
    final Integer known = lifeOfConnection.putIfAbsent(connection, life);
    if (dark || known != null && known != life) {
      if (!dark) {
        exchange.close();
      }
      return;
    }
    final String target = exchange.getRequestHeaders().getFirst("X-Lentilsail-Target-Instance");
    final JsonNode call = Http.body(exchange);
    if (gone || !id.equals(target)) {
      Http.answer(exchange, 421, null);
      return;
    }
    switch (exchange.getRequestURI().getPath()) {
      case "/api/run-start" -> start(exchange, call);
      case "/api/run-stop" -> stop(exchange, call);
      case "/api/hold" -> hold(exchange, call);
      case "/api/pace" -> Http.answer(exchange, 200, Http.object().put("ClockMs", clock()));
      default -> Http.answer(exchange, 404, null);
    }
  }

  private boolean isFenced(final JsonNode call) {
    final long token = call.path("FencingToken").asLong();
    if (token < fence) {
      return true;
    }
    fence = token;
    return false;
  }

  private void extend(final JsonNode call) {
    leaseUntil =
        Math.max(leaseUntil, Math.min(call.path("UntilMs").asLong(), clock() + HOLD_MAX_MILLIS));
  }

  private void start(final HttpExchange exchange, final JsonNode call) throws IOException {
    String reason = "";
    synchronized (this) {
      final String task = call.path("Task").asText();
      final int number = call.path("Run").asInt();
      final JsonNode step = jobs.step(task);
      final Run known = runs.get(task);
      if (isFenced(call)) {
        reason = "fence";
      } else if (call.path("UntilMs").asLong() <= clock()) {
        reason = "late";
      } else if (known != null && known.number() == number) {
        extend(call);
      } else if (number <= highestEnded.getOrDefault(task, 0) || known != null) {
        extend(call);
        reason = "old";
      } else if (step == null || usedCpu() + step.path("Cpu").asLong() > cpu) {
        extend(call);
        reason = "room";
      } else {
        extend(call);
        final long now = System.nanoTime();
        final long millis = Math.max(1, step.path("EstimateMs").asLong());
        runs.put(task, new Run(task, number, step, now, now + millis * 1_000_000));
        record.started(id, task, number, call.path("Spec").asText());
        notifyAll();
      }
    }
    final ObjectNode body = Http.object().put("ClockMs", clock());
    if (!reason.isEmpty()) {
      body.put("Reason", reason);
    }
    Http.answer(exchange, reason.isEmpty() ? 200 : 409, body);
  }

  private long usedCpu() {
    return runs.values().stream().mapToLong(run -> run.step().path("Cpu").asLong()).sum();
  }

  private void stop(final HttpExchange exchange, final JsonNode call) throws IOException {
    String reason = "";
    synchronized (this) {
      final String task = call.path("Task").asText();
      final int number = call.path("Run").asInt();
      if (isFenced(call)) {
        reason = "fence";
      } else {
        highestEnded.merge(task, number, Math::max);
        final Run run = runs.get(task);
        if (run != null && run.number() <= number) {
          end(run, "stopped");
        }
      }
    }
    final ObjectNode body = Http.object().put("ClockMs", clock());
    if (!reason.isEmpty()) {
      body.put("Reason", reason);
    }
    Http.answer(exchange, reason.isEmpty() ? 200 : 409, body);
  }

  private void hold(final HttpExchange exchange, final JsonNode call) throws IOException {
    final ObjectNode body = Http.object();
    boolean fenced = false;
    synchronized (this) {
      if (isFenced(call)) {
        fenced = true;
        body.put("ClockMs", clock()).put("Reason", "fence");
      } else {
        extend(call);
        final long seen = call.path("LastSeen").asLong();
        if (ended.removeIf(row -> (Long) row[0] <= seen)) {
          record.acknowledged(id, seen);
        }
        final long until = System.nanoTime() + call.path("WaitMs").asLong() * 1_000_000;
        final int heldIn = life;
        while (ended.isEmpty() && !gone) {
          final long leftMillis = (until - System.nanoTime()) / 1_000_000;
          if (leftMillis <= 0) {
            break;
          }
          waitFor(leftMillis);
          if (heldIn != life) {
            return;
          }
        }
        report(body);
      }
    }
    Http.answer(exchange, fenced ? 409 : 200, body);
  }

  private void report(final ObjectNode body) {
    body.put("ClockMs", clock()).put("born", born);
    final ArrayNode running = body.putArray("Running");
    for (final Run run : runs.values()) {
      running
          .addArray()
          .add(run.task())
          .add(run.number())
          .add("")
          .add(100)
          .add(run.step().path("Cpu").asLong());
    }
    final ArrayNode rows = body.putArray("Ended");
    for (final Object[] row : ended.subList(0, Math.min(500, ended.size()))) {
      rows.addArray()
          .add((Long) row[0])
          .add((String) row[1])
          .add((Integer) row[2])
          .add((String) row[3])
          .add("");
    }
  }

  private void end(final Run run, final String how) {
    runs.remove(run.task());
    highestEnded.merge(run.task(), run.number(), Math::max);
    ended.add(new Object[] {++lastNumber, run.task(), run.number(), how});
    record.ended(id, run.task(), run.number(), how);
    notifyAll();
  }

  /** Ends the runs that are due, and all runs when the lease expires. */
  private void work() {
    while (true) {
      synchronized (this) {
        if (gone) {
          return;
        }
        final long now = System.nanoTime();
        final boolean lapsed = clock() > leaseUntil;
        for (final Run run : List.copyOf(runs.values())) {
          if (lapsed) {
            end(run, "lapsed");
          } else if (run.endsAt() - now <= 0) {
            end(run, "done");
          }
        }
      }
      Http.sleep(2);
    }
  }

  /** Returns the number of listed ends that no call has taken note of. */
  synchronized int unacknowledged() {
    return ended.size();
  }
}
