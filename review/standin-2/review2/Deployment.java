package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

/** A small deployment: daemons, workers of one service, the store and the machine API. */
final class Deployment implements AutoCloseable {
  static final String SERVICE = "booking";
  static final String QUEUE = "/hold/";

  final Recorder recorder;
  final Store store;
  final Callers callers;
  final List<Daemon> daemons = new ArrayList<>();
  final List<Worker> workers = new ArrayList<>();
  final List<Worker.Run> history = new ArrayList<>();

  /** The port of the run command in the deploy file. */
  private static final int METRICS_PORT = 9464;

  private static final String[] ZONES = {"a", "b", "c"};

  private final HttpServer cloud;
  private final Path directory;

  /** Keeps other deployments on this machine from using the same addresses. */
  private final ServerSocket reservation;

  Deployment(
      final Path root,
      final Recorder recorder,
      final int daemonCount,
      final int workerCount,
      final ToLongFunction<String> durations)
      throws IOException {
    this.recorder = recorder;
    this.callers = new Callers(recorder);
    directory = Files.createTempDirectory("review-2");
    reservation = reserveNet();
    final int net = reservation.getInetAddress().getAddress()[2] & 0xff;
    store = new Store(host(net, 1), recorder);
    cloud = new HttpServer(host(net, 2), this::machines, new HttpServer.Link());
    writeConfiguration(1);
    for (int i = 1; i <= workerCount; i++) {
      workers.add(
          new Worker(
              "w-" + i,
              SERVICE,
              zone(i),
              host(net, 10 + i % 80),
              64_000,
              262_144,
              store,
              recorder,
              history,
              durations,
              socket -> Peers.owner(socket, daemons)));
    }
    for (int i = 1; i <= daemonCount; i++) {
      daemons.add(
          new Daemon(
              "front-" + zone(i) + "-" + i,
              zone(i),
              host(net, 100 + i).getHostAddress(),
              root,
              directory,
              store.address(),
              cloud.address(),
              recorder));
    }
  }

  /** Chooses addresses of which no other deployment uses the port for metrics. */
  private static ServerSocket reserveNet() throws IOException {
    final Random random = new Random();
    while (true) {
      final int net = 10 + random.nextInt(200);
      try (ServerSocket free = new ServerSocket(METRICS_PORT, 1, host(net, 101))) {
        return new ServerSocket(METRICS_PORT, 1, host(net, 1));
      } catch (final BindException used) {
        continue;
      }
    }
  }

  private static String zone(final int number) {
    return ZONES[(number - 1) % ZONES.length];
  }

  private static InetAddress host(final int net, final int number) throws IOException {
    return InetAddress.getByAddress(new byte[] {127, 41, (byte) net, (byte) number});
  }

  /**
   * Starts the daemons and waits until each accepts a job of one task, and until these are done.
   */
  void start() throws Exception {
    for (final Daemon daemon : daemons) {
      daemon.start();
    }
    int number = 0;
    for (final Daemon daemon : daemons) {
      number++;
      final String id = String.format("%016x", 0xffff0000L + number);
      await(
          20_000, () -> submit(daemon, id, job(step(1, 500, 256))) == 200, daemon.name + " serves");
      await(20_000, () -> state(daemon, id).equals("completed"), "the first job is completed");
    }
    recorder.say("the deployment serves");
  }

  /** A condition that is checked again and again. */
  interface Condition {
    boolean holds() throws Exception;
  }

  static void await(final long millis, final Condition condition, final String what)
      throws Exception {
    if (!awaitOr(millis, condition)) {
      throw new CannotRunException(what + ": not within " + millis + " ms");
    }
  }

  static boolean awaitOr(final long millis, final Condition condition) throws Exception {
    final long end = System.nanoTime() + millis * 1_000_000;
    while (!condition.holds()) {
      if (System.nanoTime() > end) {
        return false;
      }
      Thread.sleep(100);
    }
    return true;
  }

  void writeConfiguration(final long version) {
    final ObjectNode body = Json.object().put("Version", version);
    body.putArray("Routes")
        .addObject()
        .put("Name", "r-hold")
        .put("Host", "jobs.example")
        .put("Prefix", QUEUE)
        .put("Type", "unsafe")
        .put("TimeoutMs", 3000)
        .put("TargetLatencyMs", 600)
        .put("Priority", 0)
        .put("Service", SERVICE)
        .put("MaxAttempts", 4)
        .put("Stretch", 1.6);
    body.putArray("Services")
        .addObject()
        .put("Name", SERVICE)
        .put("HealthPath", "/health")
        .put("MaxConnections", 64)
        .put("Protocol", "h1")
        .put("Tls", false)
        .put("EnforcesCapacity", true)
        .put("Spare", false);
    body.putObject("Limits")
        .put("MaxHeaderBytes", 16384)
        .put("MaxBodyBytes", 262144)
        .put("HeaderTimeoutMs", 3000)
        .put("IdleTimeoutMs", 15000);
    store.put("op/config", body);
  }

  /** Returns a step of tasks without dependencies. */
  static ObjectNode step(final int count, final long cpu, final long memory) {
    return Json.object()
        .put("Count", count)
        .put("Cpu", cpu)
        .put("MemMb", memory)
        .put("EstimateMs", 900);
  }

  static ObjectNode job(final ObjectNode... steps) {
    final ObjectNode body = Json.object().put("Spec", "run");
    final var list = body.putArray("Steps");
    for (final ObjectNode step : steps) {
      list.add(step);
    }
    return body;
  }

  int submit(final Daemon daemon, final String id, final ObjectNode job) {
    return callers.call(daemon, "POST", QUEUE + id, job).status();
  }

  /** Returns the state of a job, empty if there was no answer with one. */
  String state(final Daemon daemon, final String id) {
    final Callers.Answer answer = callers.call(daemon, "GET", QUEUE + id, null);
    return answer.status() == 200
        ? Json.read(answer.body().getBytes(java.nio.charset.StandardCharsets.UTF_8))
            .path("State")
            .asText()
        : "";
  }

  /** Returns all runs that have started of the jobs whose ids begin with a prefix. */
  List<Worker.Run> runs(final String prefix) {
    synchronized (history) {
      return history.stream().filter(run -> run.task.startsWith(prefix)).toList();
    }
  }

  private HttpServer.Response machines(final HttpServer.Request request) {
    if (!request.path().equals("/api/machines")) {
      recorder.log("machine order: %s", new String(request.body()));
      return HttpServer.Response.json(409, Json.object().put("Reason", "busy"));
    }
    final ObjectNode answer = Json.object();
    final var rows = answer.putArray("Machines");
    for (final Worker worker : workers) {
      final ObjectNode row =
          rows.addObject()
              .put("Machine", worker.machine)
              .put("Pool", worker.service)
              .put("State", worker.isCrashed() ? "down" : "up")
              .put("Zone", worker.zone)
              .put("Id", worker.id);
      row.putArray("Labels").add("a").add("r1");
      row.set("Capacity", worker.capacity());
    }
    answer.putNull("NextToken");
    return HttpServer.Response.json(200, answer);
  }

  @Override
  public void close() throws Exception {
    for (final Daemon daemon : daemons) {
      daemon.close();
    }
    for (final Worker worker : workers) {
      worker.close();
    }
    cloud.close();
    store.close();
    reservation.close();
    if (Boolean.parseBoolean(System.getenv().getOrDefault("KEEP_LOGS", "false"))) {
      System.out.println("logs in " + directory);
      return;
    }
    try (Stream<Path> files = Files.walk(directory)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
