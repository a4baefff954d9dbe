package org.lentilsail.system;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.lentilsail.standin.process.Await;

/** Configuration records of the small deployment, applied by the operators' command line. */
final class SampleRecords {
  /** Service that is used when a single one is enough. */
  static final String SERVICE = "booking";

  /** All services of the records. */
  static final List<String> SERVICES = List.of("booking", "fees", "clubdesk");

  /** Time limit until a configuration is in effect on all daemons. */
  static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(2);

  /** File of pools, services and budgets. */
  private static final String FLEET_RECORDS_FILE = "small-fairway.json";

  private SampleRecords() {}

  /**
   * Applies pools, services and budgets by the command line, then waits until all daemons are ready
   * and route requests to the service.
   *
   * @param fleet the fleet
   * @throws Exception when the records are rejected
   */
  static void apply(final LocalFleet fleet) throws Exception {
    final CliResult result = fleet.cli("apply", copyToFleet(fleet, FLEET_RECORDS_FILE).toString());
    if (result.exitCode() != 0) {
      throw new IllegalStateException("apply failed: " + result.output());
    }
    for (final EntryPlan entry : fleet.plan().entries()) {
      fleet.awaitReady(entry.id());
    }
    for (final EntryPlan entry : fleet.plan().entries()) {
      Await.until(
          "service " + SERVICE + " on " + entry.id(),
          Duration.ofSeconds(20),
          () ->
              fleet
                      .httpClient()
                      .status(
                          fleet.addresses().callerPorts().get(entry.id()), "/" + SERVICE + "/ready")
                  == 200);
    }
  }

  /**
   * Copies a file of records from the class path into the fleet's directory.
   *
   * @param fleet the fleet
   * @param name name of the file
   * @return the copy
   * @throws IOException when it cannot be copied
   */
  static Path copyToFleet(final LocalFleet fleet, final String name) throws IOException {
    try (InputStream input = SampleRecords.class.getResourceAsStream(name)) {
      return fleet.write(name, new String(input.readAllBytes(), StandardCharsets.UTF_8));
    }
  }
}
