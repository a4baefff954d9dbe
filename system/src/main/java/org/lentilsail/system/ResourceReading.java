package org.lentilsail.system;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Cumulative resource use of an entry daemon at a point in time.
 *
 * @param daemon id of the daemon
 * @param holdsControl whether the daemon is the leader of fleet control
 * @param cpuSeconds CPU time in s
 * @param residentBytes resident memory in bytes
 * @param peerBytes bytes sent to and received from other daemons
 */
record ResourceReading(
    String daemon,
    boolean holdsControl,
    double cpuSeconds,
    double residentBytes,
    double peerBytes) {

  private static final double BYTES_PER_MEGABYTE = 1e6;

  private static final double BYTES_PER_KILOBYTE = 1e3;

  private static final double PERCENT = 100;

  /**
   * Reads the resource use of all daemons of a fleet.
   *
   * @param fleet the fleet
   * @return a reading for each daemon, in the order of the plan
   * @throws IOException when the response of a daemon cannot be parsed
   */
  static List<ResourceReading> readAll(final LocalFleet fleet) throws IOException {
    final MetricsPage metrics = new MetricsPage(fleet.httpClient());
    final List<ResourceReading> result = new ArrayList<>();
    for (final EntryPlan entry : fleet.plan().entries()) {
      final int port = fleet.addresses().adminPorts().get(entry.id());
      final boolean leads =
          fleet
              .httpClient()
              .json(port, "GET", "/v1/state", "")
              .path("control")
              .path("holding")
              .asBoolean();
      result.add(
          new ResourceReading(
              entry.id(),
              leads,
              metrics.sum(port, "lentilsail_process_cpu_seconds_total"),
              metrics.sum(port, "lentilsail_process_resident_bytes"),
              metrics.sum(port, "lentilsail_peer_bytes_total")));
    }
    return result;
  }

  double corePercentSince(final ResourceReading before, final Duration elapsed) {
    return PERCENT * (cpuSeconds - before.cpuSeconds) / elapsed.toSeconds();
  }

  double residentMegabytes() {
    return residentBytes / BYTES_PER_MEGABYTE;
  }

  double kilobytesPerSecondSince(final ResourceReading before, final Duration elapsed) {
    return (peerBytes - before.peerBytes) / BYTES_PER_KILOBYTE / elapsed.toSeconds();
  }
}
