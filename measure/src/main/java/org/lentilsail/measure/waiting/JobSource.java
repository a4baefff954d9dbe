package org.lentilsail.measure.waiting;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Generates the arrivals at one service. The services peak one after the other: demand is 5 times
 * the mean at a peak and a twentieth of the mean between peaks.
 */
final class JobSource {
  /** Duration of the peak of one service in ns. */
  static final long PEAK_NANOS = 8_000_000_000L;

  /** Number of services that peak one after the other. */
  private static final int SERVICES = 5;

  /** Number of peaks of each service. */
  private static final int PEAKS_PER_SERVICE = 2;

  /** Time in ns at which the arrivals end. */
  static final long END_NANOS = PEAK_NANOS * SERVICES * PEAKS_PER_SERVICE;

  /** Mean demand as a share of the slots; a peak of 5 times the mean is 1.3 times the slots. */
  private static final double MEAN_LOAD = 0.26;

  /** Demand at a peak as a multiple of the mean. */
  private static final double PEAK_FACTOR = 5;

  /** Demand between peaks as a multiple of the mean. */
  private static final double OFF_PEAK_FACTOR = 0.05;

  /** Share of the demanded slot time that short jobs need. */
  private static final double SHORT_SHARE = 0.55;

  /** Mean run time of short jobs in ns. */
  private static final double SHORT_MEAN_NANOS = 20e6;

  /** Mean run time of long jobs in ns, including stragglers. */
  private static final double LONG_MEAN_NANOS = 3e9;

  /** Shortest run time of long jobs in ns, including stragglers. */
  private static final double LONG_MIN_NANOS = 0.5e9;

  /** Share of stragglers (long jobs) among the requests on paths of short jobs. */
  private static final double STRAGGLER_SHARE = 0.0005;

  /** Share of the jobs that fail on every worker. */
  private static final double POISON_SHARE = 0.003;

  /** Share of the jobs that are urgent. */
  private static final double URGENT_SHARE = 0.01;

  /** Time in ns that callers of short jobs wait for the start. */
  private static final long SHORT_PATIENCE_NANOS = 2_000_000_000L;

  /** Time in ns that callers of long jobs wait for the start. */
  private static final long LONG_PATIENCE_NANOS = 30_000_000_000L;

  private final int service;

  private final int slots;

  private final Random random;

  JobSource(final int service, final int workers, final long seed) {
    this.service = service;
    this.slots = workers * ServiceSimulation.SLOTS;
    this.random = new Random(seed * 31 + service);
  }

  List<Job> jobs() {
    final List<Job> result = new ArrayList<>();
    addJobs(result, true, SHORT_SHARE / SHORT_MEAN_NANOS);
    addJobs(result, false, (1 - SHORT_SHARE) / LONG_MEAN_NANOS);
    return result;
  }

  private void addJobs(
      final List<Job> result, final boolean isShort, final double arrivalRatePerSlot) {
    final double peakRate = arrivalRatePerSlot * slots * MEAN_LOAD * PEAK_FACTOR;
    double now = exponential(1 / peakRate);
    while (now < END_NANOS) {
      final boolean peak = (long) (now / PEAK_NANOS) % SERVICES == service;
      if (peak || random.nextDouble() < OFF_PEAK_FACTOR / PEAK_FACTOR) {
        result.add(job((long) now, isShort));
      }
      now += exponential(1 / peakRate);
    }
  }

  private Job job(final long now, final boolean isShort) {
    final boolean runsLong = !isShort || random.nextDouble() < STRAGGLER_SHARE;
    final double run =
        runsLong
            ? LONG_MIN_NANOS + exponential(LONG_MEAN_NANOS - LONG_MIN_NANOS)
            : Math.min(exponential(SHORT_MEAN_NANOS), Job.SHORT_NANOS - 1);
    // Declared run times are wrong by a factor of up to 100 in both directions.
    final double declared = run / 1e6 * Math.pow(100, random.nextDouble() * 2 - 1);
    final String path = isShort ? "/tee-times/" + random.nextInt(5) : "/billing";
    final JobKind kind =
        new JobKind(
            (long) run,
            path + "/" + random.nextInt(100_000),
            "team" + (char) ('a' + random.nextInt(4)),
            (long) declared,
            random.nextDouble() < URGENT_SHARE,
            random.nextDouble() < POISON_SHARE);
    final long patience = isShort ? SHORT_PATIENCE_NANOS : LONG_PATIENCE_NANOS;
    return new Job(now, patience, kind, random.nextInt(Deployment.DAEMONS));
  }

  private double exponential(final double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }
}
