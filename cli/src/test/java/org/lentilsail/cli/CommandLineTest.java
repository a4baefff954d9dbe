package org.lentilsail.cli;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lentilsail.acceptance.OperatorCommands;
import org.lentilsail.acceptance.RecordService;
import org.lentilsail.admin.AdminComponents;
import org.lentilsail.admin.AdminServer;
import org.lentilsail.admin.SnapshotExplainer;
import org.lentilsail.config.ConfigurationSnapshot;
import org.lentilsail.config.ConfigurationView;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.WaveProgress;
import org.lentilsail.model.record.PoolSpec;
import org.lentilsail.model.record.Records;
import org.lentilsail.model.record.ResumeMode;
import org.lentilsail.model.record.ServiceSpec;
import org.lentilsail.model.record.WaveSpec;
import org.lentilsail.model.time.ManualTimeSource;

/**
 * Guards against unintended changes of the output and exit codes that operators and scripts rely
 * on.
 */
class CommandLineTest {
  private static final String FILES = "src/test/resources/org/lentilsail/cli/";

  private final MemoryPlatform platform = new MemoryPlatform();
  private final StringBuilder transcript = new StringBuilder();
  private final AtomicInteger writeIds = new AtomicInteger();
  private AdminServer server;
  private String live;
  private String dead;
  private String broken = "BROKEN";

  @BeforeEach
  void start() throws IOException {
    final ManualTimeSource time = new ManualTimeSource(0);
    final RecordService records = new RecordService(platform.client(), time, time::advance);
    final ConfigurationView view = view();
    server =
        new AdminServer(
            new InetSocketAddress("127.0.0.1", 0),
            new AdminComponents(
                records,
                new OperatorCommands(records, (vm, reason) -> {}),
                view,
                new SnapshotExplainer(view),
                new PrometheusRegistry(),
                List.of(),
                () -> !platform.down,
                List.of()));
    live = "127.0.0.1:" + server.address().getPort();
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      dead = "127.0.0.1:" + socket.getLocalPort();
    }
  }

  @AfterEach
  void stop() {
    server.close();
  }

  /** Guards against faults in reading, applying, showing and deleting records. */
  @Test
  void appliesAndShowsRecords() {
    run("apply fleet.json");
    run("list");
    run("list pool --output json");
    run("diff service.json fleet.json");
    run("apply service.json --output json");
    run("get service/tee");
    run("get service/tee --schema-version 1");
    run("apply faulty.json");
    run("apply service.json --revision 2");
    run("delete pool/green");
    run("delete wave/kernel");
    run("get wave/kernel --output json");
    run("apply missing.json");
    Approvals.verify(transcript.toString());
  }

  /** Guards against faults in the commands on waves and VMs. */
  @Test
  void operatesWavesAndVms() {
    run("apply fleet.json");
    run("pause kernel");
    run("pause kernel");
    run("resume kernel");
    run("status kernel");
    run("drain vm-1 --reason disk");
    run("drain vm-1");
    run("drain vm-1 --force");
    run("explain vm vm-1");
    run("explain wave kernel --output json");
    run("return vm-1");
    run("return vm-1");
    run("drain vm-9");
    run("state --output json");
    Approvals.verify(transcript.toString());
  }

  /**
   * Guards against misleading errors when daemons or the platform are unreachable or replies are
   * lost.
   */
  @Test
  void reportsFailures() {
    run("list --server DEAD,LIVE");
    run("list --server DEAD");
    platform.down = true;
    run("apply fleet.json");
    run("drain vm-1 --force");
    platform.down = false;
    run("apply fleet.json");
    platform.losesReplies = true;
    run("apply service.json --revision 2 --mark m-lost");
    platform.losesReplies = false;
    run("apply service.json --revision 2 --mark m-lost");
    run("apply service.json --revision 2 --mark m-other");
    Approvals.verify(transcript.toString());
  }

  /** Guards against lost or repeated writes when a daemon crashes before it responds. */
  @Test
  void repeatsOnTheNextDaemon() throws IOException {
    run("apply fleet.json");
    try (BrokenDaemon daemon = new BrokenDaemon(server.address())) {
      broken = daemon.address();
      run("apply service.json --server BROKEN,LIVE");
      run("drain vm-1 --server BROKEN,LIVE");
      run("apply service.json --revision 4 --server BROKEN");
      run("get service/tee --server BROKEN,DEAD,LIVE --output json");
    }
    Approvals.verify(transcript.toString());
  }

  /** Guards against faults in help texts and in errors for invalid command lines. */
  @Test
  void helps() {
    run("--help");
    run("apply --help");
    run("drain --help");
    run("state --help");
    run("aply fleet.json");
    run("list --servr LIVE");
    run("list --output xml");
    run("list --server nowhere");
    run("status");
    Approvals.verify(transcript.toString());
  }

  private void run(final String line) {
    final ByteArrayOutputStream out = new ByteArrayOutputStream();
    final PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
    final CommandLine commandLine =
        new CommandLine(
            stream, stream, () -> "mark-" + writeIds.incrementAndGet(), Optional.of(live));
    final String[] args =
        line.replace("LIVE", live)
            .replace("DEAD", dead)
            .replace("BROKEN", broken)
            .replaceAll("(\\w+\\.json)", FILES + "$1")
            .split(" ");
    final int exit = commandLine.run(args);
    transcript
        .append("$ lentilsail ")
        .append(line)
        .append('\n')
        .append(
            out.toString(StandardCharsets.UTF_8)
                .replace("\r\n", "\n")
                .replace(live, "LIVE")
                .replace(dead, "DEAD")
                .replace(broken, "BROKEN"))
        .append("exit ")
        .append(exit)
        .append("\n\n");
  }

  private static ConfigurationView view() {
    final VmEntry vm = VmEntry.inService("vm-1", "127.0.0.1:9", "recife", "rack-1", "green", 1, 5);
    final Records records =
        new Records(
            Map.of("green", new PoolSpec("green", false, 0, 0, "")),
            Map.of("tee", new ServiceSpec("tee", "green", "/", 1, 1, 1, Map.of())),
            Map.of(),
            Map.of(
                "kernel",
                new WaveSpec(
                    "kernel", List.of("green"), 1, 1, 2, ResumeMode.OPERATOR, false, 1, 1, 0, 0)),
            Map.of());
    final WaveProgress progress =
        new WaveProgress("kernel", 1, 1, Set.of(), Set.of(), false, 1, 0, 0);
    final ConfigurationSnapshot snapshot =
        new ConfigurationSnapshot(
            9,
            records,
            new FleetDocument(1, "entry-1", Map.of("vm-1", vm), Map.of("kernel", progress)),
            7,
            Map.of());
    return new ConfigurationView() {
      @Override
      public ConfigurationSnapshot current() {
        return snapshot;
      }

      @Override
      public void onChange(final Consumer<ConfigurationSnapshot> listener) {}
    };
  }
}
