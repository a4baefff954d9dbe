package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;

/** A small deployment: seven daemons in three zones, eight workers and the stand-ins. */
final class Deployment implements AutoCloseable {
  static final String HOST = "pule25.example";
  static final String PREFIX = "/puxa400/";
  static final String SERVICE = "rondas";

  private static final int DAEMONS = 7;
  private static final int WORKERS = 8;
  private static final int METRICS_PORT = 9464;
  private static final int FIRST_TRIES = 200;
  private static final Duration DEADLINE = Duration.ofMillis(3_000);

  private final Record record;
  private final Store store = new Store();
  private final Work work = new Work();
  private final Fleet fleet;
  private final Path folder = Files.createTempDirectory("lentilsail-review");
  private final List<Daemon> daemons = new ArrayList<>();
  private final HttpClient client = HttpClient.newBuilder().connectTimeout(DEADLINE).build();
  private int nextDaemon;

  Deployment(final Path root, final Record record) throws IOException {
    this.record = record;
    this.fleet = new Fleet(store, work, record);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    final String net = "127." + freeNet() + ".";
    for (int i = 0; i < WORKERS; i++) {
      fleet.add(
          new Worker(
              "i-" + (100 + i),
              "m-" + (100 + i),
              SERVICE,
              "z" + (i % 3 + 1),
              "r" + (i / 4 + 1) + "-1",
              net + (100 + i),
              fleet));
    }
    for (int i = 0; i < DAEMONS; i++) {
      final String name = "front-z" + (i % 3 + 1) + "-" + (i / 3 + 1);
      daemons.add(
          new Daemon(name, "z" + (i % 3 + 1), net + (10 + i), root, folder, store, fleet));
    }
  }

  /** Finds loopback addresses on which the port of the metrics is free. */
  private static String freeNet() throws IOException {
    final Random random = new Random();
    while (true) {
      final String net = (1 + random.nextInt(200)) + "." + (1 + random.nextInt(200));
      try (ServerSocket socket =
          new ServerSocket(METRICS_PORT, 1, InetAddress.getByName("127." + net + ".10"))) {
        return net;
      } catch (final IOException inUse) {
        // Another case may use these addresses.
      }
    }
  }

  Fleet fleet() {
    return fleet;
  }

  /** Starts all daemons and waits until each of them serves. */
  void start() throws IOException, InterruptedException {
    for (final Daemon daemon : daemons) {
      daemon.start();
    }
    for (final Daemon daemon : daemons) {
      int tries = 0;
      while (call(daemon, "GET", "", "").status() != 200) {
        tries++;
        if (tries > FIRST_TRIES) {
          throw new IOException(daemon.name() + " doesn't serve");
        }
        Thread.sleep(100);
      }
    }
    while (leader() == null) {
      Thread.sleep(50);
    }
    record.line("all daemons serve; %s calls the platform about machines", leader().name());
  }

  /** Writes a configuration with the queue, or without it, as the operator does. */
  void configure(final long version, final boolean withQueue, final int maxAttempts) {
    final List<Object> routes = new ArrayList<>();
    routes.add(route("r-other", "/tije37/", 4));
    if (withQueue) {
      routes.add(route("r-first", PREFIX, maxAttempts));
    }
    store.put(
        "op/config",
        Json.of(
            "Version", version,
            "Routes", routes,
            "Services",
                List.of(Json.of("Name", SERVICE, "EnforcesCapacity", true, "Spare", false)),
            "Limits", Json.of("MaxBodyBytes", 262144)));
    record.line(
        "operator: configuration %d acknowledged, %s",
        version,
        withQueue ? "with " + PREFIX + ", MaxAttempts " + maxAttempts : "without " + PREFIX);
  }

  private static Map<String, Object> route(
      final String name, final String prefix, final int maxAttempts) {
    return Json.of(
        "Name", name,
        "Host", HOST,
        "Prefix", prefix,
        "Type", "unsafe",
        "TimeoutMs", 3000,
        "TargetLatencyMs", 600,
        "Priority", 0,
        "Service", SERVICE,
        "MaxAttempts", maxAttempts,
        "Stretch", 1.6);
  }

  /** Hands a job in until it is accepted, as a client with retries does. */
  void submit(final String id, final Map<String, Object> job) throws InterruptedException {
    work.add(id, job);
    for (int i = 0; i < 4; i++) {
      final Reply reply = call(next(), "POST", id, Json.write(job));
      if (reply.status() / 100 == 2) {
        return;
      }
      Thread.sleep(1_000);
    }
    throw new IllegalStateException("job " + id + " was not accepted");
  }

  /** Asks for the state of a job until a daemon answers. */
  String state(final String id) throws InterruptedException {
    for (int i = 0; i < 5; i++) {
      final Reply reply = call(next(), "GET", id, "");
      if (reply.status() == 200) {
        return Json.text(Json.object(reply.body()), "State");
      }
      if (reply.status() == 410) {
        return "410";
      }
      Thread.sleep(300);
    }
    return "no answer";
  }

  /** Returns the daemon that last called the platform about machines, null if none has. */
  Daemon leader() {
    return daemons.stream()
        .filter(daemon -> daemon.lastDutyAt() >= 0)
        .max(Comparator.comparingDouble(Daemon::lastDutyAt))
        .orElse(null);
  }

  private Daemon next() {
    nextDaemon++;
    return daemons.get(nextDaemon % daemons.size());
  }

  private record Reply(int status, String body) {}

  private Reply call(
      final Daemon daemon, final String method, final String id, final String body)
      throws InterruptedException {
    final HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + daemon.front() + PREFIX + id))
            .timeout(DEADLINE)
            .header("Host", HOST)
            .header("Content-Type", "application/json")
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      final HttpResponse<String> response =
          client.send(request, HttpResponse.BodyHandlers.ofString());
      if (!id.isEmpty()) {
        record.line(
            "client: %s %s%s %s at %s: %d %s",
            method, PREFIX, id, body, daemon.name(), response.statusCode(), response.body());
      }
      return new Reply(response.statusCode(), response.body());
    } catch (final IOException error) {
      if (!id.isEmpty()) {
        record.line("client: %s %s%s at %s: no answer", method, PREFIX, id, daemon.name());
      }
      return new Reply(0, "");
    }
  }

  @Override
  public void close() {
    daemons.forEach(Daemon::close);
    if (System.getenv("KEEP") != null) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (final IOException error) {
      // The folder has been deleted already.
    }
  }
}
