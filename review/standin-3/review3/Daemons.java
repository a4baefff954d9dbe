package review3;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The daemons of the deploy file as processes; one that ends is started again after a second. */
final class Daemons {
  private static final long RESTART_MILLIS = 1_000;

  private final class Daemon {
    final String name;
    final String address;
    final Path settings;
    final Path output;
    final String front;
    final String ready;
    final String[] command;
    volatile Process process;
    volatile int ownEnds;
    volatile boolean killed;

    Daemon(final int number) throws IOException {
      name = "front-recife-" + number;
      address = "127.0.0." + (10 + number);
      front = address + ':' + Http.freePort(address);
      ready = address + ':' + Http.freePort(address);
      settings = folder.resolve(name + ".json");
      output = folder.resolve(name + ".out");
      Files.write(settings, Http.bytes(settings(this)));
      command = command(Http.freePort(address));
    }
  }

  private final Path folder;
  private final Record record;
  private final String storeAddress;
  private final String cloudAddress;
  private final List<Daemon> daemons = new ArrayList<>();
  private volatile boolean stopping;

  Daemons(final Record record, final String storeAddress, final String cloudAddress)
      throws IOException {
    this.record = record;
    this.storeAddress = storeAddress;
    this.cloudAddress = cloudAddress;
    this.folder = Files.createTempDirectory("review-daemons");
  }

  /** Returns the command of the deploy file with a free port for the metrics. */
  private static String[] command(final int metricsPort) throws IOException {
    for (final String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        final String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return run.replace("--metrics-port 9464", "--metrics-port " + metricsPort).split(" ");
      }
    }
    throw new IOException("no run command in deploy/system.toml");
  }

  private ObjectNode settings(final Daemon daemon) throws IOException {
    final ObjectNode root = Http.object();
    root.put("Node", daemon.name).put("Role", "entry").put("MachineClass", "front");
    root.putArray("Serves").add("front");
    root.put("Ip", daemon.address).put("Zone", "recife").put("Region", "nordeste");
    root.putObject("Zones").put("recife", "nordeste");
    root.putObject("Listen").put("Front", daemon.front).put("Ready", daemon.ready);
    root.putObject("Limits")
        .put("CpuShare", 0.75)
        .put("Cores", 1)
        .put("MemoryMb", 430)
        .put("MaxFds", 4100)
        .put("LinkMbps", 1000.0)
        .put("DiskMb", 0);
    root.put("HeartbeatMs", 1500).put("Bootstrap", true);
    root.putObject("Bounds")
        .put("ContactMs", 3000)
        .put("AckMs", 4000)
        .put("DrainMs", 2000)
        .put("GraceS", 6)
        .put("ConfigApplyMs", 2000)
        .put("HoldMaxMs", 6000)
        .put("StopMs", 400)
        .put("GangMs", 3000)
        .put("cancel_ms", 3000)
        .put("visible_ms", 3000)
        .put("finish_s", 14)
        .put("status_s", 120)
        .put("MoveS", 1.5)
        .put("UpkeepS", 2)
        .put("RequireFencing", false)
        .put("LeaseMs", 3000);
    root.put("Orders", "call");
    root.putObject("platform")
        .put("Address", storeAddress)
        .put("form", "kv")
        .put("WritesPerS", 400)
        .put("ReadsPerS", 2000)
        .put("HistoryS", 20)
        .put("ValueBytes", 1_048_576)
        .put("TtlMinMs", 1000);
    root.putObject("Cloud").put("Address", cloudAddress).put("RatePerS", 64.0).put("DutyPerS", 64);
    return root;
  }

  /** Starts daemons and waits until all are ready. */
  void start(final int count) throws IOException {
    Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    for (int number = 1; number <= count; number++) {
      final Daemon daemon = new Daemon(number);
      daemons.add(daemon);
      launch(daemon);
    }
  }

  boolean awaitReady(final long millis) {
    final long until = System.nanoTime() + millis * 1_000_000;
    for (final Daemon daemon : daemons) {
      while (Http.call("GET", daemon.ready, "/api/ready", "ready", null, 1_000).status() != 200) {
        if (System.nanoTime() - until > 0) {
          return false;
        }
        Http.sleep(50);
      }
    }
    return true;
  }

  private void launch(final Daemon daemon) {
    try {
      final ProcessBuilder builder = new ProcessBuilder(daemon.command);
      final String path = System.getenv("PATH");
      final String home = System.getenv("JAVA_HOME");
      builder.environment().clear();
      builder.environment().put("PATH", path);
      if (home != null) {
        builder.environment().put("JAVA_HOME", home);
      }
      builder.environment().put("LENTILSAIL_CONFIG", daemon.settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(daemon.output.toFile()));
      daemon.process = builder.start();
      record.line("process " + daemon.name + " started");
      daemon.process.onExit().thenAccept(ended -> ended(daemon, ended.exitValue()));
    } catch (final IOException error) {
      record.line("stand-in: cannot start " + daemon.name + ": " + error);
    }
  }

  private void ended(final Daemon daemon, final int code) {
    if (!stopping) {
      if (daemon.killed) {
        daemon.killed = false;
        record.line("process " + daemon.name + " was killed");
      } else {
        daemon.ownEnds++;
        record.line("process " + daemon.name + " ended by itself with exit code " + code);
      }
      Http.later(
          RESTART_MILLIS,
          () -> {
            if (!stopping) {
              launch(daemon);
            }
          });
    }
  }

  int count() {
    return daemons.size();
  }

  String front(final int index) {
    return daemons.get(index % daemons.size()).front;
  }

  /** Returns how many processes have ended by themselves at least so often. */
  int endedAtLeast(final int times) {
    return (int) daemons.stream().filter(daemon -> daemon.ownEnds >= times).count();
  }

  int ownEnds() {
    return daemons.stream().mapToInt(daemon -> daemon.ownEnds).sum();
  }

  /** Returns the lines of all daemons' logs that contain a text. */
  List<String> logLines(final String text) throws IOException {
    final List<String> found = new ArrayList<>();
    for (final Daemon daemon : daemons) {
      try (var lines = Files.lines(daemon.output)) {
        lines
            .filter(line -> line.contains(text))
            .forEach(line -> found.add(daemon.name + ": " + line));
      }
    }
    return found;
  }

  /** Kills a process, which is started again after a second. */
  void kill(final String name) {
    for (final Daemon daemon : daemons) {
      if (daemon.name.equals(name)) {
        daemon.killed = true;
        daemon.process.destroyForcibly();
      }
    }
  }

  /** Ends all processes at once, without a restart. */
  void stopAll() {
    stopping = true;
    for (final Daemon daemon : daemons) {
      daemon.process.destroyForcibly();
    }
    for (final Daemon daemon : daemons) {
      daemon.process.onExit().join();
    }
    record.line("all processes were ended by the test");
    Http.sleep(100);
  }

  /** Starts all processes again. */
  void startAll() {
    stopping = false;
    daemons.forEach(this::launch);
  }

  void stop() {
    stopping = true;
    for (final Daemon daemon : daemons) {
      if (daemon.process != null) {
        daemon.process.destroyForcibly();
      }
    }
    for (final Daemon daemon : daemons) {
      try {
        if (daemon.process != null) {
          daemon.process.waitFor(5, TimeUnit.SECONDS);
        }
        Files.deleteIfExists(daemon.settings);
        if (System.getenv("KEEP_LOGS") == null) {
          Files.deleteIfExists(daemon.output);
        }
      } catch (final IOException | InterruptedException error) {
        Thread.currentThread().interrupt();
      }
    }
    try {
      if (System.getenv("KEEP_LOGS") == null) {
        Files.deleteIfExists(folder);
      } else {
        System.out.println("logs in " + folder);
      }
    } catch (final IOException error) {
      System.out.println("cannot delete " + folder);
    }
  }
}
