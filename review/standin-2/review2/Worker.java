package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Timer;
import java.util.TimerTask;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/** A sound worker of the platform: runs tasks under a lease and lists their ends. */
final class Worker implements AutoCloseable {
  /** Maximum number of ends in one answer. */
  private static final int LISTED_ENDS = 500;

  private static final long HOLD_MAX_MILLIS = 6_000;
  private static final long STOP_MILLIS = 50;
  private static final long HEARTBEAT_MILLIS = 1_500;

  /** A run, with the times in ms of the record. */
  static final class Run {
    final String worker;
    final String task;
    final int number;
    final long startedAt;
    String how = "";
    long endedAt = Long.MAX_VALUE;

    /** Whether the end was taken note of before the lease of the worker lapsed. */
    boolean acknowledged;

    /** Whether the lease of the worker has lapsed since the end. */
    boolean lapsed;

    private boolean stopping;

    Run(final String worker, final String task, final int number, final long startedAt) {
      this.worker = worker;
      this.task = task;
      this.number = number;
      this.startedAt = startedAt;
    }

    @Override
    public String toString() {
      return String.format(
          "%s run %d on %s from %d to %s %s%s",
          task,
          number,
          worker,
          startedAt,
          how.isEmpty() ? "now" : Long.toString(endedAt),
          how,
          acknowledged ? " (taken note of)" : "");
    }
  }

  private record End(long number, Run run) {}

  final String id;
  final String machine;
  final String service;
  final String zone;
  final HttpServer.Link link = new HttpServer.Link();
  private final HttpServer server;
  private final Store store;
  private final Recorder recorder;
  private final List<Run> history;
  private final ToLongFunction<String> durations;
  private final Timer timer = new Timer("worker", true);
  private final long bornAt = System.nanoTime();
  private final long bornMillis = System.currentTimeMillis();
  private final long cpu;
  private final long memory;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> highest = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private long lastEnd;
  private long token;
  private String lastCaller = "";
  private long until;
  private long sequence;
  private boolean closed;

  /**
   * Starts a worker.
   *
   * @param history receives all runs
   * @param durations run time in ms of each task
   */
  Worker(
      final String id,
      final String service,
      final String zone,
      final InetAddress address,
      final long cpu,
      final long memory,
      final Store store,
      final Recorder recorder,
      final List<Run> history,
      final ToLongFunction<String> durations,
      final Function<Socket, String> callerOf)
      throws IOException {
    this.zone = zone;
    this.id = id;
    this.machine = "m-" + id;
    this.service = service;
    this.cpu = cpu;
    this.memory = memory;
    this.store = store;
    this.recorder = recorder;
    this.history = history;
    this.durations = durations;
    server = new HttpServer(address, this::handle, link, socket -> caller(callerOf.apply(socket)));
    every(HEARTBEAT_MILLIS, this::register);
    every(10, this::expire);
  }

  private void every(final long millis, final Runnable action) {
    timer.schedule(
        new TimerTask() {
          @Override
          public void run() {
            action.run();
          }
        },
        0,
        millis);
  }

  private synchronized String caller(final String name) {
    lastCaller = name;
    return name;
  }

  /** Crashes for good: nothing runs any more and nothing is answered. */
  synchronized void crash() throws IOException {
    link.cut(true);
    closed = true;
    timer.cancel();
    server.close();
    for (final Run run : running.values()) {
      run.how = "lost";
      run.endedAt = recorder.millis();
    }
    running.clear();
    notifyAll();
  }

  synchronized boolean isCrashed() {
    return closed;
  }

  /** Returns the daemon that has opened a connection last. */
  synchronized String lastCaller() {
    return lastCaller;
  }

  ObjectNode capacity() {
    return Json.object().put("Cpu", cpu).put("MemMb", memory).put("Gpu", 0);
  }

  private synchronized void register() {
    if (closed) {
      return;
    }
    sequence++;
    final ObjectNode entry =
        Json.object()
            .put("Service", service)
            .put("Address", server.address())
            .put("Zone", zone)
            .put("Version", "v1")
            .put("Slots", 8)
            .put("State", "ready")
            .put("ColdLeftMs", 0)
            .put("ClockMs", clock())
            .put("Sequence", sequence)
            .put("born", bornMillis);
    entry.set("Capacity", capacity());
    entry.putArray("Labels").add("a").add("r1");
    store.put("servers/" + id, entry);
  }

  @Override
  public synchronized void close() throws IOException {
    closed = true;
    timer.cancel();
    server.close();
  }

  private long clock() {
    return (System.nanoTime() - bornAt) / 1_000_000;
  }

  private HttpServer.Response handle(final HttpServer.Request request) throws Exception {
    if (!id.equals(request.headers().get("x-lentilsail-target-instance"))) {
      return HttpServer.Response.of(421);
    }
    final JsonNode body = Json.read(request.body());
    return switch (request.path()) {
      case "/api/run-start" -> start(body);
      case "/api/run-stop" -> stop(body);
      case "/api/hold" -> hold(body);
      case "/api/pace" -> HttpServer.Response.json(200, Json.object().put("ClockMs", clock()));
      default -> HttpServer.Response.of(404);
    };
  }

  private HttpServer.Response conflict(final String reason) {
    return HttpServer.Response.json(
        409, Json.object().put("ClockMs", clock()).put("Reason", reason));
  }

  private HttpServer.Response done() {
    return HttpServer.Response.json(200, Json.object().put("ClockMs", clock()));
  }

  private boolean isFenced(final JsonNode body) {
    final long sent = body.path("FencingToken").asLong(0);
    if (sent < token) {
      return true;
    }
    token = sent;
    return false;
  }

  private void extend(final long untilMillis) {
    until = Math.max(until, Math.min(untilMillis, clock() + HOLD_MAX_MILLIS));
  }

  private synchronized HttpServer.Response start(final JsonNode body) {
    final String task = body.path("Task").asText();
    final int number = body.path("Run").asInt();
    if (isFenced(body)) {
      return conflict("fence");
    }
    final Run active = running.get(task);
    if (active != null && active.number == number) {
      return done();
    }
    if (body.path("UntilMs").asLong() <= clock()) {
      return conflict("late");
    }
    extend(body.path("UntilMs").asLong());
    if (active != null || number <= highest.getOrDefault(task, 0)) {
      return conflict("old");
    }
    final Run run = new Run(id, task, number, recorder.millis());
    running.put(task, run);
    synchronized (history) {
      history.add(run);
    }
    recorder.log("%s starts %s run %d", id, task, number);
    final long millis = durations.applyAsLong(task);
    if (millis > 0) {
      after(millis, () -> end(run, "done"));
    }
    return done();
  }

  private synchronized HttpServer.Response stop(final JsonNode body) {
    if (isFenced(body)) {
      return conflict("fence");
    }
    final String task = body.path("Task").asText();
    final int number = body.path("Run").asInt();
    highest.merge(task, number, Math::max);
    final Run active = running.get(task);
    if (active != null && active.number == number && !active.stopping) {
      active.stopping = true;
      after(STOP_MILLIS, () -> end(active, "stopped"));
    }
    return done();
  }

  private void after(final long millis, final Runnable action) {
    timer.schedule(
        new TimerTask() {
          @Override
          public void run() {
            action.run();
          }
        },
        millis);
  }

  private synchronized void end(final Run run, final String how) {
    if (closed || running.get(run.task) != run) {
      return;
    }
    running.remove(run.task);
    highest.merge(run.task, run.number, Math::max);
    lastEnd++;
    run.how = how;
    run.endedAt = recorder.millis();
    ends.add(new End(lastEnd, run));
    recorder.log("%s ends %s run %d as %s", id, run.task, run.number, how);
    notifyAll();
  }

  private synchronized void expire() {
    if (clock() <= until) {
      return;
    }
    ends.forEach(end -> end.run().lapsed = true);
    if (!running.isEmpty()) {
      recorder.log("%s: the lease of %d runs has lapsed", id, running.size());
      List.copyOf(running.values()).forEach(run -> end(run, "lapsed"));
    }
  }

  private synchronized HttpServer.Response hold(final JsonNode body) throws InterruptedException {
    if (isFenced(body)) {
      return conflict("fence");
    }
    if (body.path("UntilMs").asLong(0) > 0) {
      extend(body.path("UntilMs").asLong());
    }
    final long lastSeen = body.path("LastSeen").asLong();
    ends.stream()
        .filter(end -> end.number() <= lastSeen && !end.run().lapsed)
        .forEach(end -> end.run().acknowledged = true);
    ends.removeIf(end -> end.number() <= lastSeen);
    final long waitUntil = System.nanoTime() + body.path("WaitMs").asLong(0) * 1_000_000;
    while (ends.isEmpty() && !closed) {
      final long left = (waitUntil - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        break;
      }
      wait(left);
    }
    final ObjectNode answer = Json.object().put("ClockMs", clock()).put("born", bornMillis);
    final var runs = answer.putArray("Running");
    running
        .values()
        .forEach(run -> runs.addArray().add(run.task).add(run.number).add("").add(100).add(10));
    final var listed = answer.putArray("Ended");
    ends.stream()
        .limit(LISTED_ENDS)
        .forEach(
            end ->
                listed
                    .addArray()
                    .add(end.number())
                    .add(end.run().task)
                    .add(end.run().number)
                    .add(end.run().how)
                    .add(""));
    if (ends.size() > LISTED_ENDS) {
      recorder.log(
          "%s lists %d of %d ends, %d running", id, LISTED_ENDS, ends.size(), running.size());
    }
    return HttpServer.Response.json(200, answer);
  }
}
