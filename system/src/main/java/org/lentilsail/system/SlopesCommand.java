package org.lentilsail.system;

import java.time.Duration;
import java.util.List;
import java.util.Locale;

/** Measures the resource use of entry daemons for fleet control at several fleet sizes. */
final class SlopesCommand implements SystemCommand {
  /** Fleet sizes in VMs. */
  private static final List<Integer> FLEET_SIZES = List.of(36, 120, 300);

  private static final List<String> POOLS = List.of("booking", "fees", "clubdesk");

  /** Time between the readings before and after a measurement. */
  private static final Duration MEASUREMENT_TIME = Duration.ofSeconds(20);

  /** Time limit until all VMs have joined and are in service. */
  private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(90);

  /** Record of a maintenance wave over all pools. */
  private static final String WAVE_RECORD =
      "{\"kind\":\"wave\",\"schemaVersion\":2,\"name\":\"all\",\"spec\":"
          + "{\"pools\":[\"booking\",\"fees\",\"clubdesk\"],\"maxParallel\":3}}";

  @Override
  public String name() {
    return "slopes";
  }

  @Override
  public int run(final String[] args) throws Exception {
    System.out.println(
        "| VMs | phase | daemon | core % | resident MB | KB/s between daemons"
            + " | platform calls/s |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
    for (final int size : FLEET_SIZES) {
      measure(size);
    }
    return 0;
  }

  private static void measure(final int size) throws Exception {
    final DeploymentPlan plan =
        DeploymentPlan.spread(
            List.of("recife", "fortaleza", "salvador"), 7, POOLS, size / POOLS.size());
    try (LocalFleet fleet = LocalFleet.start(plan)) {
      SampleRecords.apply(fleet);
      fleet.awaitInService(JOIN_TIMEOUT);
      report(size, "idle", fleet);
      fleet
          .httpClient()
          .json(
              fleet.addresses().adminPorts().get("e1"),
              "PUT",
              "/v1/records/wave/all?expectedRevision=0",
              WAVE_RECORD);
      report(size, "wave", fleet);
    }
  }

  private static void report(final int size, final String phase, final LocalFleet fleet)
      throws Exception {
    final List<ResourceReading> before = ResourceReading.readAll(fleet);
    final double callsBefore = platformCalls(fleet);
    Thread.sleep(MEASUREMENT_TIME.toMillis());
    final List<ResourceReading> after = ResourceReading.readAll(fleet);
    final double callsPerSecond =
        (platformCalls(fleet) - callsBefore) / MEASUREMENT_TIME.toSeconds();
    for (int i = 0; i < after.size(); i++) {
      System.out.printf(
          Locale.ROOT,
          "| %d | %s | %s%s | %.2f | %.0f | %.2f | |%n",
          size,
          phase,
          after.get(i).daemon(),
          after.get(i).holdsControl() ? " (leader)" : "",
          after.get(i).corePercentSince(before.get(i), MEASUREMENT_TIME),
          after.get(i).residentMegabytes(),
          after.get(i).kilobytesPerSecondSince(before.get(i), MEASUREMENT_TIME));
    }
    System.out.printf(Locale.ROOT, "| %d | %s | all | | | | %.1f |%n", size, phase, callsPerSecond);
  }

  private static double platformCalls(final LocalFleet fleet) throws Exception {
    return fleet
        .httpClient()
        .json(fleet.addresses().platformPort(), "GET", "/v1/calls", "")
        .path("total")
        .asDouble();
  }
}
