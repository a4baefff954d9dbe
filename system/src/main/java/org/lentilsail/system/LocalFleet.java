package org.lentilsail.system;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.lentilsail.standin.process.Await;
import org.lentilsail.standin.process.ChildProcess;

/** Runs a full deployment as local processes that listen on the loopback address. */
final class LocalFleet implements AutoCloseable {
  /** Maximum heap of an entry daemon in MB. */
  private static final int ENTRY_HEAP_MB = 96;

  /** Maximum heap of a stand-in in MB. */
  private static final int STANDIN_HEAP_MB = 256;

  /** Maximum heap of the command line in MB. */
  private static final int CLI_HEAP_MB = 64;

  /** Time limit in s for a run of the command line. */
  private static final int CLI_TIMEOUT_SECONDS = 30;

  /** Time limit for the start of a process. */
  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

  private final DeploymentPlan plan;

  /** Temporary directory of settings and process outputs. */
  private final Path directory;

  private final FleetAddresses addresses;

  private final FleetLinks links;

  private final SettingsFiles settingsFiles;

  private final LocalHttpClient httpClient = new LocalHttpClient();

  /** Entry daemons by id. */
  private final Map<String, ChildProcess> entries = new LinkedHashMap<>();

  private final List<ChildProcess> standins = new ArrayList<>();

  /** Number of command-line runs, for unique output names. */
  private int cliRuns;

  private LocalFleet(final DeploymentPlan plan) throws IOException {
    this.plan = plan;
    this.directory = Files.createTempDirectory("lentilsail-fleet");
    this.addresses = FleetAddresses.find(plan);
    this.links = new FleetLinks(plan, addresses);
    this.settingsFiles = new SettingsFiles(directory, plan, addresses, links);
  }

  /**
   * Starts the stand-ins and all entry daemons and waits until the daemons are live.
   *
   * @param plan the deployment
   * @return the running fleet
   * @throws Exception when a process cannot be started
   */
  static LocalFleet start(final DeploymentPlan plan) throws Exception {
    final LocalFleet fleet = new LocalFleet(plan);
    try {
      fleet.startStandins();
      for (final EntryPlan entry : plan.entries()) {
        fleet.startEntry(entry.id());
      }
      for (final EntryPlan entry : plan.entries()) {
        fleet.awaitLive(entry.id());
      }
    } catch (final Exception error) {
      fleet.printOutputs();
      fleet.close();
      throw error;
    }
    return fleet;
  }

  DeploymentPlan plan() {
    return plan;
  }

  FleetAddresses addresses() {
    return addresses;
  }

  FleetLinks links() {
    return links;
  }

  LocalHttpClient httpClient() {
    return httpClient;
  }

  ChildProcess entry(final String id) {
    return entries.get(id);
  }

  /**
   * Starts an entry daemon that is not running.
   *
   * @param id id of the daemon
   * @throws IOException when it cannot be started
   */
  void startEntry(final String id) throws IOException {
    final EntryPlan entry =
        plan.entries().stream().filter(each -> each.id().equals(id)).findFirst().orElseThrow();
    entries.put(
        id,
        ChildProcess.start(
            id,
            directory,
            "org.lentilsail.daemon.EntryDaemon",
            ENTRY_HEAP_MB,
            List.of("--settings", settingsFiles.entry(entry).toString())));
  }

  /**
   * Waits until a daemon reports itself live on its operators' address.
   *
   * @param id id of the daemon
   * @return waiting time in ms
   * @throws InterruptedException when the waiting thread is interrupted
   */
  long awaitLive(final String id) throws InterruptedException {
    return Await.until(
        "daemon " + id + " live",
        START_TIMEOUT,
        () -> httpClient.status(addresses.adminPorts().get(id), "/live") == 200);
  }

  /**
   * Waits until a daemon is ready for requests.
   *
   * @param id id of the daemon
   * @return waiting time in ms
   * @throws InterruptedException when the waiting thread is interrupted
   */
  long awaitReady(final String id) throws InterruptedException {
    return Await.until(
        "daemon " + id + " ready",
        START_TIMEOUT,
        () -> httpClient.status(addresses.adminPorts().get(id), "/ready") == 200);
  }

  /**
   * Waits until every VM of the deployment is in service according to the first daemon.
   *
   * @param limit longest wait
   * @return waiting time in ms
   * @throws InterruptedException when the waiting thread is interrupted
   */
  long awaitInService(final Duration limit) throws InterruptedException {
    final int admin = addresses.adminPorts().get(plan.entries().get(0).id());
    return Await.until(
        "all VMs in service",
        limit,
        () -> {
          final JsonNode vms = httpClient.json(admin, "GET", "/v1/fleet", "").findPath("vms");
          return vms.size() == plan.vms().size() && vms.findValue("phase") == null;
        });
  }

  /**
   * Runs the operators' command line with the addresses of all daemons.
   *
   * @param args subcommand and arguments
   * @return exit code and output
   * @throws Exception when the process cannot be run
   */
  CliResult cli(final String... args) throws Exception {
    final List<String> command = new ArrayList<>(Arrays.asList(args));
    command.add("--server");
    command.add(
        String.join(
            ",",
            plan.entries().stream()
                .map(entry -> FleetAddresses.hostAndPort(addresses.adminPorts().get(entry.id())))
                .toList()));
    cliRuns++;
    try (ChildProcess process =
        ChildProcess.start(
            "cli-" + cliRuns, directory, "org.lentilsail.cli.Lentilsail", CLI_HEAP_MB, command)) {
      final int exitCode = process.await(CLI_TIMEOUT_SECONDS);
      return new CliResult(exitCode, process.output());
    }
  }

  /**
   * Writes a file into the fleet's directory, as input for the command line.
   *
   * @param name name of the file
   * @param text content
   * @return the file
   * @throws IOException when it cannot be written
   */
  Path write(final String name, final String text) throws IOException {
    return Files.writeString(directory.resolve(name), text);
  }

  /** Prints the outputs of all processes, to diagnose a failed start. */
  void printOutputs() throws IOException {
    for (final Map.Entry<String, ChildProcess> entry : entries.entrySet()) {
      System.out.println("--- " + entry.getKey());
      System.out.println(entry.getValue().output());
    }
    for (final ChildProcess standin : standins) {
      System.out.println("--- stand-in");
      System.out.println(standin.output());
    }
  }

  @Override
  public void close() throws IOException {
    entries.values().forEach(ChildProcess::close);
    standins.forEach(ChildProcess::close);
    httpClient.close();
    links.close();
    try (Stream<Path> paths = Files.walk(directory)) {
      for (final Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }

  private void startStandins() throws Exception {
    final List<String> backends = new ArrayList<>(List.of("backend"));
    for (final VmPlan vm : plan.vms()) {
      backends.add("--address");
      backends.add(FleetAddresses.hostAndPort(addresses.backendPorts().get(vm.vm())));
    }
    standins.add(startStandin("backends", backends));
    standins.add(
        startStandin(
            "platform", List.of("platform", "--settings", settingsFiles.platform().toString())));
    Await.until(
        "platform stand-in",
        START_TIMEOUT,
        () -> httpClient.status(addresses.platformPort(), "/v1/vms") == 200);
  }

  private ChildProcess startStandin(final String name, final List<String> args) throws IOException {
    return ChildProcess.start(
        name, directory, "org.lentilsail.standin.StandinMain", STANDIN_HEAP_MB, args);
  }
}
