package org.lentilsail.system;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * What one entry daemon has used up to a moment.
 *
 * @param daemon id of the daemon
 * @param holdsControl whether it holds control
 * @param cpuSeconds processor time in s
 * @param residentBytes resident memory in bytes
 * @param peerBytes bytes to and from other daemons
 */
record ResourceReading(
    String daemon,
    boolean holdsControl,
    double cpuSeconds,
    double residentBytes,
    double peerBytes) {

  /** Bytes in a megabyte. */
  private static final double MEGABYTE = 1e6;

  /** Bytes in a kilobyte. */
  private static final double KILOBYTE = 1e3;

  /** Hundred percent. */
  private static final double PERCENT = 100;

  /**
   * Reads all daemons of a fleet.
   *
   * @param fleet the fleet
   * @return a reading for each daemon, in the order of the plan
   * @throws IOException when a daemon gives no readable answer
   */
  static List<ResourceReading> readAll(final LocalFleet fleet) throws IOException {
    final MetricsPage metrics = new MetricsPage(fleet.httpClient());
    final List<ResourceReading> result = new ArrayList<>();
    for (final EntryPlan entry : fleet.plan().entries()) {
      final int port = fleet.addresses().adminPorts().get(entry.id());
      final boolean holds =
          fleet
              .httpClient()
              .json(port, "GET", "/v1/state", "")
              .path("control")
              .path("holding")
              .asBoolean();
      result.add(
          new ResourceReading(
              entry.id(),
              holds,
              metrics.sum(port, "lentilsail_process_cpu_seconds_total"),
              metrics.sum(port, "lentilsail_process_resident_bytes"),
              metrics.sum(port, "lentilsail_peer_bytes_total")));
    }
    return result;
  }

  double corePercentSince(final ResourceReading before, final Duration time) {
    return PERCENT * (cpuSeconds - before.cpuSeconds) / time.toSeconds();
  }

  double residentMegabytes() {
    return residentBytes / MEGABYTE;
  }

  double kilobytesPerSecondSince(final ResourceReading before, final Duration time) {
    return (peerBytes - before.peerBytes) / KILOBYTE / time.toSeconds();
  }
}
