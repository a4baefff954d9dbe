package org.lentilsail.system;

import java.time.Duration;
import java.util.List;
import java.util.Locale;

/** Measures what entry daemons spend on control at several sizes of the fleet. */
final class SlopesCommand implements SystemCommand {
  /** Sizes of the fleet in VMs. */
  private static final List<Integer> SIZES = List.of(36, 120, 300);

  /** Pools of the fleet. */
  private static final List<String> POOLS = List.of("booking", "fees", "clubdesk");

  /** Time between two readings. */
  private static final Duration LENGTH = Duration.ofSeconds(20);

  /** Longest time until all VMs have joined and serve. */
  private static final Duration JOIN_LIMIT = Duration.ofSeconds(90);

  /** Wave over all pools. */
  private static final String WAVE =
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
    for (final int size : SIZES) {
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
      fleet.awaitInService(JOIN_LIMIT);
      report(size, "idle", fleet);
      fleet
          .httpClient()
          .json(
              fleet.addresses().adminPorts().get("e1"),
              "PUT",
              "/v1/records/wave/all?expectedRevision=0",
              WAVE);
      report(size, "wave", fleet);
    }
  }

  private static void report(final int size, final String phase, final LocalFleet fleet)
      throws Exception {
    final List<ResourceReading> before = ResourceReading.readAll(fleet);
    final double callsBefore = platformCalls(fleet);
    Thread.sleep(LENGTH.toMillis());
    final List<ResourceReading> after = ResourceReading.readAll(fleet);
    final double calls = (platformCalls(fleet) - callsBefore) / LENGTH.toSeconds();
    for (int i = 0; i < after.size(); i++) {
      System.out.printf(
          Locale.ROOT,
          "| %d | %s | %s%s | %.2f | %.0f | %.2f | |%n",
          size,
          phase,
          after.get(i).daemon(),
          after.get(i).holdsControl() ? " (control holder)" : "",
          after.get(i).corePercentSince(before.get(i), LENGTH),
          after.get(i).residentMegabytes(),
          after.get(i).kilobytesPerSecondSince(before.get(i), LENGTH));
    }
    System.out.printf(Locale.ROOT, "| %d | %s | all | | | | %.1f |%n", size, phase, calls);
  }

  private static double platformCalls(final LocalFleet fleet) throws Exception {
    return fleet
        .httpClient()
        .json(fleet.addresses().platformPort(), "GET", "/v1/calls", "")
        .path("total")
        .asDouble();
  }
}
