package org.lentilsail.system;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.lentilsail.http.HttpField;

/** Measures the latency that an entry daemon adds, against direct requests in the same run. */
final class BenchPathCommand implements SystemCommand {
  private static final int REQUESTS_PER_SECOND = 2_000;

  /** Rounds of direct and proxied load; the first one is a warm-up and has no limits. */
  private static final int ROUNDS = 4;

  /** Duration of the direct load, and of the proxied load, in a round. */
  private static final Duration LOAD_DURATION = Duration.ofSeconds(8);

  private static final String ALLOCATED_BYTES_METRIC = "lentilsail_process_allocated_bytes_total";

  /** Limit in ms of the latency that an entry daemon adds at the median. */
  private static final double MEDIAN_LIMIT_MILLIS = 0.5;

  /** Limit in ms of the latency that an entry daemon adds at the 99th percentile. */
  private static final double TAIL_LIMIT_MILLIS = 2.0;

  private static final double TAIL_PERCENTILE = 99.0;

  private static final double MEDIAN_PERCENTILE = 50.0;

  @Override
  public String name() {
    return "bench-path";
  }

  @Override
  public int run(final String[] args) throws Exception {
    boolean withinLimits = true;
    try (LocalFleet fleet = LocalFleet.start(DeploymentPlan.smallFairway())) {
      SampleRecords.apply(fleet);
      final OpenLoopLoad load =
          new OpenLoopLoad(
              fleet.httpClient().asyncClient(), List.of(new HttpField("Standin-Run-Millis", "0")));
      System.out.println(
          "round  direct p50  entry p50  added p50  direct p99  entry p99  added p99"
              + "  failures  bytes/request (7 daemons)   [ms]");
      for (int round = 0; round < ROUNDS; round++) {
        final boolean roundWithinLimits = measure(fleet, load, round);
        withinLimits = withinLimits && (round == 0 || roundWithinLimits);
      }
    }
    System.out.println(
        "limits: "
            + MEDIAN_LIMIT_MILLIS
            + " ms at the median, "
            + TAIL_LIMIT_MILLIS
            + " ms at the 99th percentile: "
            + (withinLimits ? "met" : "not met"));
    return withinLimits ? 0 : 1;
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
    final LoadResult direct = load.run(backends, "/tee-times", REQUESTS_PER_SECOND, LOAD_DURATION);
    final double allocatedBefore = allocatedBytes(fleet);
    final LoadResult entry =
        load.run(
            callers,
            "/" + SampleRecords.SERVICE + "/tee-times",
            REQUESTS_PER_SECOND,
            LOAD_DURATION);
    final double bytesPerRequest =
        (allocatedBytes(fleet) - allocatedBefore) / entry.latencies().getTotalCount();
    final double addedMedian =
        entry.millisAt(MEDIAN_PERCENTILE) - direct.millisAt(MEDIAN_PERCENTILE);
    final double addedTail = entry.millisAt(TAIL_PERCENTILE) - direct.millisAt(TAIL_PERCENTILE);
    System.out.printf(
        Locale.ROOT,
        "%5s  %10.3f  %9.3f  %9.3f  %10.3f  %9.3f  %9.3f  %8d  %13.0f%n",
        round == 0 ? "warm" : Integer.toString(round),
        direct.millisAt(MEDIAN_PERCENTILE),
        entry.millisAt(MEDIAN_PERCENTILE),
        addedMedian,
        direct.millisAt(TAIL_PERCENTILE),
        entry.millisAt(TAIL_PERCENTILE),
        addedTail,
        direct.failures() + entry.failures(),
        bytesPerRequest);
    return addedMedian <= MEDIAN_LIMIT_MILLIS && addedTail <= TAIL_LIMIT_MILLIS;
  }

  private static double allocatedBytes(final LocalFleet fleet) {
    final MetricsPage metrics = new MetricsPage(fleet.httpClient());
    return fleet.plan().entries().stream()
        .mapToDouble(
            entry ->
                metrics.sum(fleet.addresses().adminPorts().get(entry.id()), ALLOCATED_BYTES_METRIC))
        .sum();
  }
}
