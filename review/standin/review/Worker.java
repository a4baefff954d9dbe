package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in of a worker that guards its capacity. The spec of a job says what its tasks do: "work N"
 * ends done after N ms, "fail N" ends failed after N ms, "last" goes on until it is stopped, and
 * "exit N" does so but for the first run of the task, which ends done after N ms.
 */
final class Worker {
  static final long CPU = 32_000;
  static final long MEMORY_MB = 65_536;

  private static final long HOLD_MAX_MILLIS = 6_000;
  private static final long STOP_MILLIS = 50;
  private static final long HEARTBEAT_MILLIS = 1_500;

  private final String id;
  private final String machine;
  private final String service;
  private final String zone;
  private final String rack;
  private final Fleet fleet;
  private final HttpServer server;
  private final long born = System.currentTimeMillis();
  private final long bornNanos = System.nanoTime();
  private final List<Run> running = new ArrayList<>();
  private final List<Run> ended = new ArrayList<>();
  private final Map<String, Integer> highest = new HashMap<>();
  private long token;
  private long leaseMillis;
  private long lastEnd;
  private long sequence;

  Worker(
      final String id,
      final String machine,
      final String service,
      final String zone,
      final String rack,
      final String host,
      final Fleet fleet)
      throws IOException {
    this.id = id;
    this.machine = machine;
    this.service = service;
    this.zone = zone;
    this.rack = rack;
    this.fleet = fleet;
    this.server = Http.serve(host, this::answer);
    fleet.every(HEARTBEAT_MILLIS, this::beat);
  }

  String id() {
    return id;
  }

  /** Returns the row of the machine list. */
  Map<String, Object> machineRow() {
    return Json.of(
        "Machine", machine,
        "Pool", service,
        "State", "up",
        "Zone", zone,
        "Labels", List.of("a", rack),
        "Capacity", capacity(),
        "Id", id);
  }

  /** Returns the free capacity in thousandths of a core. Guarded by the fleet. */
  long freeCpu() {
    return CPU - running.stream().mapToLong(run -> cpu(run.task)).sum();
  }

  private static Map<String, Object> capacity() {
    return Json.of("Cpu", CPU, "MemMb", MEMORY_MB, "Gpu", 0);
  }

  private void beat() {
    sequence++;
    fleet
        .store()
        .put(
            "servers/" + id,
            Json.of(
                "Service", service,
                "Address", Http.address(server),
                "Zone", zone,
                "Version", "v1",
                "Slots", 8,
                "State", "ready",
                "ColdLeftMs", 0,
                "Capacity", capacity(),
                "Labels", List.of("a", rack),
                "ClockMs", clock(),
                "Sequence", sequence,
                "born", born));
  }

  private long clock() {
    return (System.nanoTime() - bornNanos) / 1_000_000;
  }

  private Http.Answer answer(
      final HttpExchange exchange,
      final String path,
      final Map<String, String> query,
      final String body)
      throws InterruptedException {
    if (!id.equals(exchange.getRequestHeaders().getFirst("X-Lentilsail-Target-Instance"))) {
      return new Http.Answer(421, null);
    }
    final Map<String, Object> request = Json.object(body);
    synchronized (fleet) {
      if (Json.number(request, "FencingToken") < token) {
        fleet.record().line("%s %s token %d: 409 fence", id, path, fenceOf(request));
        return refuse("fence");
      }
      token = Json.number(request, "FencingToken");
      return switch (path) {
        case "/api/run-start" -> start(request);
        case "/api/run-stop" -> stop(request);
        case "/api/hold" -> hold(request);
        case "/api/pace" -> new Http.Answer(200, Json.of("ClockMs", clock()));
        default -> new Http.Answer(404, null);
      };
    }
  }

  private static long fenceOf(final Map<String, Object> request) {
    return Json.number(request, "FencingToken");
  }

  private Http.Answer refuse(final String reason) {
    return new Http.Answer(409, Json.of("ClockMs", clock(), "Reason", reason));
  }

  private Http.Answer start(final Map<String, Object> request) {
    final String task = Json.text(request, "Task");
    final int number = (int) Json.number(request, "Run");
    final Http.Answer answer = tryStart(request, task, number);
    fleet
        .record()
        .line(
            "%s run-start %s run %d spec \"%s\" token %d: %d %s",
            id,
            task,
            number,
            Json.text(request, "Spec"),
            token,
            answer.status(),
            answer.status() == 200 ? "" : ((Map<?, ?>) answer.body()).get("Reason"));
    return answer;
  }

  private Http.Answer tryStart(
      final Map<String, Object> request, final String task, final int number) {
    final Run active = find(task);
    if (active != null && active.number == number) {
      return new Http.Answer(200, Json.of("ClockMs", clock()));
    }
    if (Json.number(request, "UntilMs") <= clock()) {
      return refuse("late");
    }
    if (fleet.work().step(task) == null) {
      return new Http.Answer(400, Json.of("ClockMs", clock(), "Reason", "unknown job"));
    }
    extendLease(Json.number(request, "UntilMs"));
    if (active != null || number <= highest.getOrDefault(task, 0)) {
      return refuse("old");
    }
    if (cpu(task) > freeCpu()) {
      return refuse("room");
    }
    final Run run = new Run(task, number, this, fleet.record().now());
    running.add(run);
    fleet.started(run);
    behave(run, Json.text(request, "Spec").split(" "));
    return new Http.Answer(200, Json.of("ClockMs", clock()));
  }

  private void behave(final Run run, final String[] spec) {
    switch (spec[0]) {
      case "work" -> fleet.after(Long.parseLong(spec[1]), () -> end(run, "done"));
      case "fail" -> fleet.after(Long.parseLong(spec[1]), () -> end(run, "failed"));
      case "exit" -> {
        if (fleet.runsOf(run.task).size() == 1) {
          fleet.after(Long.parseLong(spec[1]), () -> end(run, "done"));
        }
      }
      default -> {}
    }
  }

  private Http.Answer stop(final Map<String, Object> request) {
    final String task = Json.text(request, "Task");
    final int number = (int) Json.number(request, "Run");
    fleet.record().line("%s run-stop %s run %d token %d: 200", id, task, number, token);
    highest.merge(task, number, Math::max);
    final Run run = find(task);
    if (run != null && run.number == number && !run.stopping) {
      run.stopping = true;
      fleet.after(STOP_MILLIS, () -> end(run, "stopped"));
    }
    return new Http.Answer(200, Json.of("ClockMs", clock()));
  }

  private Http.Answer hold(final Map<String, Object> request) throws InterruptedException {
    if (Json.number(request, "UntilMs") > 0) {
      extendLease(Json.number(request, "UntilMs"));
    }
    final long lastSeen = Json.number(request, "LastSeen");
    for (final Run run : List.copyOf(ended)) {
      if (run.endNumber <= lastSeen) {
        ended.remove(run);
        run.notedAt = fleet.record().now();
        fleet.record().line("%s hold LastSeen %d takes note of: %s", id, lastSeen, run);
      }
    }
    final long until = System.nanoTime() + Json.number(request, "WaitMs") * 1_000_000;
    while (ended.isEmpty() && System.nanoTime() < until) {
      fleet.wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
    }
    final List<Object> runningRows = new ArrayList<>();
    running.forEach(
        run -> runningRows.add(List.of(run.task, run.number, "", 100, figure(run.task))));
    final List<Object> endedRows = new ArrayList<>();
    ended.forEach(
        run -> endedRows.add(List.of(run.endNumber, run.task, run.number, run.how, "")));
    return new Http.Answer(
        200,
        Json.of(
            "ClockMs", clock(), "born", born, "Running", runningRows, "Ended", endedRows));
  }

  /** Returns the tail in ms of a task that serves, otherwise the CPU in use. */
  private long figure(final String task) {
    return Json.number(fleet.work().step(task), "TargetMs") > 0 ? 10 : cpu(task);
  }

  private long cpu(final String task) {
    return Json.number(fleet.work().step(task), "Cpu");
  }

  private Run find(final String task) {
    return running.stream().filter(run -> run.task.equals(task)).findFirst().orElse(null);
  }

  private void extendLease(final long untilMillis) {
    leaseMillis = Math.max(leaseMillis, Math.min(untilMillis, clock() + HOLD_MAX_MILLIS));
    fleet.after(Math.max(1, leaseMillis - clock() + 1), this::lapse);
  }

  /** Ends everything if the lease has expired. */
  private void lapse() {
    if (clock() > leaseMillis) {
      ended.forEach(run -> run.lapsedBeforeNoted = true);
      List.copyOf(running).forEach(run -> end(run, "lapsed"));
    }
  }

  private void end(final Run run, final String how) {
    if (running.remove(run)) {
      lastEnd++;
      run.endNumber = lastEnd;
      run.endedAt = fleet.record().now();
      run.how = how;
      highest.merge(run.task, run.number, Math::max);
      ended.add(run);
      fleet.record().line("%s lists end %d: %s", id, run.endNumber, run);
      fleet.notifyAll();
    }
  }
}
