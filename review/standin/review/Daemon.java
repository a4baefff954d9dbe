package review;

import com.sun.net.httpserver.HttpServer;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** One daemon: a process started with the command of the deploy file, and its settings. */
final class Daemon {
  /** Delay in ms after which the platform starts a process again that was killed. */
  private static final long RESTART_MILLIS = 1_000;

  private static final List<String> VARIABLES = List.of("PATH", "HOME", "JAVA_HOME", "LANG");

  private final String name;
  private final Path root;
  private final Path folder;
  private final Record record;
  private final Path settings;
  private final String front;
  private Process process;
  private boolean closed;
  private volatile double lastDutyAt = -1;

  Daemon(
      final String name,
      final String zone,
      final String host,
      final Path root,
      final Path folder,
      final Store store,
      final Fleet fleet)
      throws IOException {
    this.name = name;
    this.root = root;
    this.folder = folder;
    this.record = fleet.record();
    this.settings = folder.resolve(name + ".json");
    final HttpServer storeServer =
        Http.serve(host, (exchange, path, query, body) -> store.answer(path, query, body));
    final HttpServer machineServer =
        Http.serve(
            host,
            (exchange, path, query, body) -> {
              lastDutyAt = record.now();
              return fleet.machines(path);
            });
    front = host + ":" + freePort(host);
    Files.writeString(
        settings,
        Json.write(
            settings(
                zone,
                host,
                host + ":" + freePort(host),
                Http.address(storeServer),
                Http.address(machineServer))));
  }

  private Map<String, Object> settings(
      final String zone,
      final String host,
      final String ready,
      final String storeAddress,
      final String machinesAddress) {
    return Json.of(
        "Node", name,
        "Role", "entry",
        "MachineClass", "front",
        "Serves", List.of("front"),
        "Ip", host,
        "Zone", zone,
        "Region", "mvd",
        "Zones", Json.of("z1", "mvd", "z2", "mvd", "z3", "mvd"),
        "Listen", Json.of("Front", front, "Ready", ready),
        "InternalPorts", List.of(7060, 7075),
        "Seeds", List.of(),
        "Bootstrap", true,
        "LossCounted", false,
        "Limits", limits(),
        "Discovery", "platform",
        "Entry", "vip",
        "HeartbeatMs", 1500,
        "Tolerate", Json.of("Machines", 2, "Zones", 1, "Regions", 0),
        "Bounds", bounds(),
        "Orders", "call",
        "platform", platform(storeAddress),
        "Cloud", Json.of("Address", machinesAddress, "RatePerS", 64.0, "DutyPerS", 64.0));
  }

  private static Map<String, Object> limits() {
    return Json.of(
        "CpuShare", 0.75, "Cores", 1, "MemoryMb", 430, "MaxFds", 4100, "LinkMbps", 1000.0,
        "DiskMb", 0);
  }

  private static Map<String, Object> bounds() {
    return Json.of(
        "ContactMs", 3000, "AckMs", 4000, "DrainMs", 2000, "GraceS", 6, "ConfigApplyMs", 2000,
        "RecoveryS", 12, "HoldMaxMs", 6000, "StopMs", 200, "GangMs", 3000, "cancel_ms", 3000,
        "visible_ms", 3000, "early_ms", 250, "finish_s", 14, "status_s", 120, "SaveS", 1,
        "RestoreMs", 250, "NoticeMs", 4500, "MoveS", 1.5, "UpkeepS", 2, "RequireFencing", false,
        "LeaseMs", 3000, "ThawMs", 300, "PaceMs", 100, "HarmMs", 4000);
  }

  private static Map<String, Object> platform(final String address) {
    return Json.of(
        "Address", address, "form", "kv", "WritesPerS", 400, "ReadsPerS", 2000, "HistoryS", 20,
        "ValueBytes", 1048576, "TtlMinMs", 1000);
  }

  String name() {
    return name;
  }

  /** Returns the address for clients. */
  String front() {
    return front;
  }

  /** Returns when the daemon last called the platform about machines, as only the leader does. */
  double lastDutyAt() {
    return lastDutyAt;
  }

  synchronized void start() throws IOException {
    if (closed) {
      return;
    }
    final ProcessBuilder builder = new ProcessBuilder(command());
    builder.directory(root.toFile());
    builder.environment().keySet().retainAll(VARIABLES);
    builder.environment().put("LENTILSAIL_CONFIG", settings.toString());
    final File log = folder.resolve(name + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    process = builder.start();
    record.line("%s starts, process %d", name, process.pid());
  }

  /** Returns the command of the role in the deploy file. */
  private List<String> command() throws IOException {
    for (final String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("the deploy file has no command");
  }

  /** Kills the process with SIGKILL; it is started again after a short delay. */
  void kill(final Fleet fleet) {
    record.line("%s gets SIGKILL, process %d", name, process.pid());
    lastDutyAt = -1;
    process.destroyForcibly();
    fleet.after(RESTART_MILLIS, this::restart);
  }

  private void restart() {
    try {
      start();
    } catch (final IOException error) {
      record.line("%s doesn't start: %s", name, error);
    }
  }

  synchronized void close() {
    closed = true;
    if (process != null) {
      process.destroyForcibly();
    }
  }

  private static int freePort(final String host) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      return socket.getLocalPort();
    }
  }
}
