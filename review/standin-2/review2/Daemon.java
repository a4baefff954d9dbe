package review2;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A daemon of the project as a separate process; it is started again when it has ended. */
final class Daemon implements AutoCloseable {
  private static final long RESTART_MILLIS = 500;

  /** The settings of a small deployment, with the bounds of the site. */
  private static final String SETTINGS =
      """
      {"Node":"NAME","Role":"entry","MachineClass":"front","Serves":["front"],"Ip":"HOST",
      "Zone":"IN_ZONE","Region":"r","Zones":{"a":"r","b":"r","c":"r"},
      "Listen":{"Front":"FRONT","Ready":"READY"},
      "Seeds":[],"Bootstrap":true,
      "Limits":{"CpuShare":0.75,"Cores":1,"MemoryMb":430,"MaxFds":4100,
      "LinkMbps":1000.0,"DiskMb":0},"DataDir":null,"HeartbeatMs":1500,
      "Tolerate":{"Machines":2,"Zones":1,"Regions":0},
      "Bounds":{"ContactMs":3000,"AckMs":4000,"DrainMs":2000,"GraceS":6,"LossSlackMs":200,
      "ConfigApplyMs":2000,"RecoveryS":12,"HoldMaxMs":6000,"StopMs":400,"GangMs":3000,
      "cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,
      "RemoteSlowdown":2,"SaveS":2,"RestoreMs":600,"NoticeMs":4500,"MoveS":1.5,"UpkeepS":2,
      "RequireFencing":false,"LeaseMs":3000,"ThawMs":300,"PaceMs":100,"HarmMs":4000},
      "Orders":"call",
      "platform":{"Address":"STORE","form":"kv","WritesPerS":400,"ReadsPerS":2000,
      "HistoryS":20,"ValueBytes":1048576,"TtlMinMs":1000},
      "Cloud":{"Address":"CLOUD","RatePerS":64.0,"Duties":[],"DutyPerS":64.0}}
      """;

  final String name;
  final String zone;
  final String front;
  private final String host;
  private final Path root;
  private final Path settings;
  private final Path output;
  private final Recorder recorder;
  private final List<Integer> ownEnds = new ArrayList<>();
  private volatile Process process;
  private volatile boolean closed;

  Daemon(
      final String name,
      final String zone,
      final String host,
      final Path root,
      final Path directory,
      final String storeAddress,
      final String cloudAddress,
      final Recorder recorder)
      throws IOException {
    this.name = name;
    this.zone = zone;
    this.host = host;
    this.root = root;
    this.recorder = recorder;
    this.settings = directory.resolve(name + ".json");
    this.output = directory.resolve(name + ".log");
    front = host + ':' + freePort();
    final String text =
        SETTINGS
            .replace("NAME", name)
            .replace("IN_ZONE", zone)
            .replace("HOST", host)
            .replace("FRONT", front)
            .replace("READY", host + ':' + freePort())
            .replace("STORE", storeAddress)
            .replace("CLOUD", cloudAddress);
    Files.writeString(settings, text);
  }

  private int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      return socket.getLocalPort();
    }
  }

  /** Reads the command of the deploy file. */
  private static List<String> command(final Path root) throws IOException {
    final Matcher run =
        Pattern.compile("(?m)^run\\s*=\\s*\"([^\"]*)\"")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("no run command in deploy/system.toml");
    }
    return List.of(run.group(1).split(" "));
  }

  void start() throws IOException {
    final ProcessBuilder builder = new ProcessBuilder(command(root));
    builder.directory(root.toFile());
    final Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("LENTILSAIL_CONFIG", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(output.toString())));
    process = builder.start();
    recorder.log("%s starts as process %d", name, process.pid());
    final Process started = process;
    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    final Thread watch = new Thread(() -> watch(started), "watch-" + name);
    watch.setDaemon(true);
    watch.start();
  }

  private void watch(final Process started) {
    try {
      final int code = started.waitFor();
      if (closed) {
        return;
      }
      synchronized (ownEnds) {
        ownEnds.add(code);
      }
      recorder.say("%s has ended by itself with exit code %d", name, code);
      Thread.sleep(RESTART_MILLIS);
      if (!closed) {
        start();
      }
    } catch (final InterruptedException | IOException error) {
      recorder.log("%s was not started again: %s", name, error);
    }
  }

  long pid() {
    return process.pid();
  }

  /** Returns how often the process has ended by itself. */
  int ownEnds() {
    synchronized (ownEnds) {
      return ownEnds.size();
    }
  }

  @Override
  public void close() throws InterruptedException {
    closed = true;
    process.destroyForcibly().waitFor();
  }
}
