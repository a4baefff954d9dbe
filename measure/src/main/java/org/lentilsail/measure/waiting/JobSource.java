package org.lentilsail.measure.waiting;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Makes the arrivals at one service. Each service in turn asks for 5 times its mean while the
 * others ask for a twentieth of theirs.
 */
final class JobSource {
  /** Time in ns during which one service has its peak. */
  static final long PEAK_NANOS = 8_000_000_000L;

  /** Number of services that take turns. */
  private static final int SERVICES = 5;

  /** Times that each service has its peak. */
  private static final int ROUNDS = 2;

  /** Time in ns at which the arrivals end. */
  static final long END_NANOS = PEAK_NANOS * SERVICES * ROUNDS;

  /** Mean demand as a part of the slots; 5 times that is 1.3 times what the pool holds. */
  private static final double MEAN_LOAD = 0.26;

  /** Demand in a peak in relation to the mean. */
  private static final double PEAK_FACTOR = 5;

  /** Demand between peaks in relation to the mean. */
  private static final double BETWEEN_FACTOR = 0.05;

  /** Part of the slot time that short work asks for. */
  private static final double SHORT_PART = 0.55;

  /** Mean run time of short work in ns. */
  private static final double SHORT_MEAN_NANOS = 20e6;

  /** Mean run time of stragglers in ns. */
  private static final double LONG_MEAN_NANOS = 3e9;

  /** Shortest run time of stragglers in ns. */
  private static final double LONG_MIN_NANOS = 0.5e9;

  /** Part of the requests on short paths that are stragglers all the same. */
  private static final double ODD_PART = 0.0005;

  /** Part of the jobs that fail on every worker. */
  private static final double POISON_PART = 0.003;

  /** Part of the jobs that are urgent. */
  private static final double URGENT_PART = 0.01;

  /** Time in ns that callers of short work wait. */
  private static final long SHORT_PATIENCE_NANOS = 2_000_000_000L;

  /** Time in ns that callers of long work wait. */
  private static final long LONG_PATIENCE_NANOS = 30_000_000_000L;

  /** Number of the service. */
  private final int service;

  /** Slots of the service. */
  private final int slots;

  /** Source of chance. */
  private final Random random;

  JobSource(final int service, final int workers, final long seed) {
    this.service = service;
    this.slots = workers * ServiceSimulation.SLOTS;
    this.random = new Random(seed * 31 + service);
  }

  List<Job> jobs() {
    final List<Job> result = new ArrayList<>();
    addKind(result, true, SHORT_PART / SHORT_MEAN_NANOS);
    addKind(result, false, (1 - SHORT_PART) / LONG_MEAN_NANOS);
    return result;
  }

  private void addKind(final List<Job> result, final boolean isShort, final double perSlot) {
    final double peakRate = perSlot * slots * MEAN_LOAD * PEAK_FACTOR;
    double now = exponential(1 / peakRate);
    while (now < END_NANOS) {
      final boolean peak = (long) (now / PEAK_NANOS) % SERVICES == service;
      if (peak || random.nextDouble() < BETWEEN_FACTOR / PEAK_FACTOR) {
        result.add(job((long) now, isShort));
      }
      now += exponential(1 / peakRate);
    }
  }

  private Job job(final long now, final boolean isShort) {
    final boolean runsLong = !isShort || random.nextDouble() < ODD_PART;
    final double run =
        runsLong
            ? LONG_MIN_NANOS + exponential(LONG_MEAN_NANOS - LONG_MIN_NANOS)
            : Math.min(exponential(SHORT_MEAN_NANOS), Job.SHORT_NANOS - 1);
    // Declared sizes are off by up to a factor of 100 in both directions.
    final double declared = run / 1e6 * Math.pow(100, random.nextDouble() * 2 - 1);
    final String path = isShort ? "/tee-times/" + random.nextInt(5) : "/billing";
    final JobKind kind =
        new JobKind(
            (long) run,
            path + "/" + random.nextInt(100_000),
            "team" + (char) ('a' + random.nextInt(4)),
            (long) declared,
            random.nextDouble() < URGENT_PART,
            random.nextDouble() < POISON_PART);
    final long patience = isShort ? SHORT_PATIENCE_NANOS : LONG_PATIENCE_NANOS;
    return new Job(now, patience, kind, random.nextInt(Deployment.DAEMONS));
  }

  private double exponential(final double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }
}
