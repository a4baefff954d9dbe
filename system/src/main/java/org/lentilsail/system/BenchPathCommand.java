package org.lentilsail.system;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.lentilsail.http.HttpField;

/** Measures what an entry daemon adds to a direct request, both ways in one run. */
final class BenchPathCommand implements SystemCommand {
  /** Requests per second. */
  private static final int RATE = 2_000;

  /** Rounds of both ways; the first one warms up and is not reported. */
  private static final int ROUNDS = 4;

  /** Length of one way of a round. */
  private static final Duration LENGTH = Duration.ofSeconds(8);

  /** Metric that counts allocation. */
  private static final String ALLOCATED = "lentilsail_process_allocated_bytes_total";

  /** Median that an entry daemon may add in ms. */
  private static final double MEDIAN_LIMIT_MILLIS = 0.5;

  /** 99th percentile that an entry daemon may add in ms. */
  private static final double TAIL_LIMIT_MILLIS = 2.0;

  /** Percentile of the tail. */
  private static final double TAIL = 99.0;

  /** Median. */
  private static final double MEDIAN = 50.0;

  @Override
  public String name() {
    return "bench-path";
  }

  @Override
  public int run(final String[] args) throws Exception {
    boolean met = true;
    try (LocalFleet fleet = LocalFleet.start(DeploymentPlan.smallFairway())) {
      SampleRecords.apply(fleet);
      final OpenLoopLoad load =
          new OpenLoopLoad(
              fleet.httpClient().asyncClient(), List.of(new HttpField("Standin-Run-Millis", "0")));
      System.out.println(
          "round  direct p50  entry p50  added p50  direct p99  entry p99  added p99"
              + "  failures  bytes/request (7 daemons)   [ms]");
      for (int round = 0; round < ROUNDS; round++) {
        final boolean within = measure(fleet, load, round);
        met = met && (round == 0 || within);
      }
    }
    System.out.println(
        "limits: "
            + MEDIAN_LIMIT_MILLIS
            + " ms at the median, "
            + TAIL_LIMIT_MILLIS
            + " ms at the 99th percentile: "
            + (met ? "met" : "not met"));
    return met ? 0 : 1;
  }

  private boolean measure(final LocalFleet fleet, final OpenLoopLoad load, final int round)
      throws InterruptedException {
    final List<Integer> backends =
        fleet.plan().vms().stream()
            .filter(vm -> vm.pool().equals(SampleRecords.SERVICE))
            .map(vm -> fleet.addresses().backendPorts().get(vm.vm()))
            .toList();
    final List<Integer> callers =
        fleet.plan().entries().stream()
            .map(entry -> fleet.addresses().callerPorts().get(entry.id()))
            .toList();
    final LoadResult direct = load.run(backends, "/tee-times", RATE, LENGTH);
    final double before = allocated(fleet);
    final LoadResult entry =
        load.run(callers, "/" + SampleRecords.SERVICE + "/tee-times", RATE, LENGTH);
    final double perRequest = (allocated(fleet) - before) / entry.latencies().getTotalCount();
    final double median = entry.millisAt(MEDIAN) - direct.millisAt(MEDIAN);
    final double tail = entry.millisAt(TAIL) - direct.millisAt(TAIL);
    System.out.printf(
        Locale.ROOT,
        "%5s  %10.3f  %9.3f  %9.3f  %10.3f  %9.3f  %9.3f  %8d  %13.0f%n",
        round == 0 ? "warm" : Integer.toString(round),
        direct.millisAt(MEDIAN),
        entry.millisAt(MEDIAN),
        median,
        direct.millisAt(TAIL),
        entry.millisAt(TAIL),
        tail,
        direct.failures() + entry.failures(),
        perRequest);
    return median <= MEDIAN_LIMIT_MILLIS && tail <= TAIL_LIMIT_MILLIS;
  }

  private static double allocated(final LocalFleet fleet) {
    final MetricsPage metrics = new MetricsPage(fleet.httpClient());
    return fleet.plan().entries().stream()
        .mapToDouble(
            entry -> metrics.sum(fleet.addresses().adminPorts().get(entry.id()), ALLOCATED))
        .sum();
  }
}
