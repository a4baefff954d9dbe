package org.lentilsail.measure.waiting;

import java.util.List;

/**
 * Size and network latency of a user's deployment.
 *
 * @param name name of the deployment
 * @param zones number of availability zones
 * @param workers number of workers by service
 * @param hopNanos one-way latency between zones in ns
 */
record Deployment(String name, int zones, List<Integer> workers, long hopNanos) {
  /** Number of entry daemons of each deployment. */
  static final int DAEMONS = 7;

  /** One-way latency within a zone in ns. */
  private static final long LOCAL_HOP_NANOS = 100_000L;

  /** The simulated deployments: Fairway has 35 VMs in 3 zones, Paseos 40 VMs in 4 zones. */
  private static final List<Deployment> ALL =
      List.of(
          new Deployment("fairway", 3, List.of(6, 7, 9, 6, 7), 1_000_000L),
          new Deployment("paseos", 4, List.of(8, 8, 8, 8, 8), 500_000L));

  static Deployment named(final String name) {
    return ALL.stream()
        .filter(deployment -> deployment.name().equals(name))
        .findFirst()
        .orElseThrow(
            () ->
                new IllegalArgumentException("deployment must be fairway or paseos, not " + name));
  }

  long hop(final int fromZone, final int toZone) {
    return fromZone == toZone ? LOCAL_HOP_NANOS : hopNanos;
  }

  int zone(final int machine) {
    return machine % zones;
  }
}
