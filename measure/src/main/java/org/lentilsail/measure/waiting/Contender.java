package org.lentilsail.measure.waiting;

import java.util.List;
import java.util.Random;

/** Dispatch strategies that are compared, and a lower bound of their waits. */
enum Contender {
  /** The product's dispatcher and worker health tracking. */
  PRODUCT("product"),
  /** Least connections with one queue per worker. */
  LEAST_CONNECTIONS("least connections"),
  /** A central FIFO queue with the product's queue limit. */
  CENTRAL_FIFO("central FIFO"),
  /** A central FIFO queue with short jobs only and without failures. */
  BOUND("bound: short alone");

  /** Maximum number of waiting jobs in the product and in the central queue. */
  private static final int QUEUE_LIMIT = 256;

  /** Interval in ns at which callers cancel a share of the unfinished jobs. */
  private static final long CANCELLATION_INTERVAL_NANOS = 3_000_000_000L;

  /** Share of the unfinished jobs that are cancelled in each interval. */
  private static final double CANCELLED_SHARE = 0.2;

  /** Name in the printed table. */
  private final String label;

  Contender(final String label) {
    this.label = label;
  }

  String label() {
    return label;
  }

  /** Simulates all services of a deployment one by one; they do not share workers. */
  JobStatistics run(final Deployment deployment, final long seed, final boolean failures) {
    final JobStatistics result = new JobStatistics();
    for (int service = 0; service < deployment.workers().size(); service++) {
      final ServiceSimulation simulation =
          new ServiceSimulation(deployment, service, seed, failures && this != BOUND, result);
      runService(simulation, service, seed);
    }
    return result;
  }

  private void runService(final ServiceSimulation simulation, final int service, final long seed) {
    final DispatchStrategy strategy = strategy(simulation);
    final List<Job> jobs = new JobSource(service, simulation.workers, seed).jobs();
    for (final Job job : jobs) {
      if (this != BOUND || job.isShort() && !job.poison) {
        simulation.loop.at(job.arrivedNanos, () -> strategy.arrive(job));
      }
    }
    if (this != BOUND) {
      scheduleCancellations(simulation, strategy, jobs, new Random(seed));
    }
    simulation.loop.run();
  }

  private DispatchStrategy strategy(final ServiceSimulation simulation) {
    return switch (this) {
      case PRODUCT -> new ProductStrategy(simulation);
      case LEAST_CONNECTIONS -> new LeastConnectionsStrategy(simulation);
      case CENTRAL_FIFO -> new CentralFifoStrategy(simulation, QUEUE_LIMIT);
      case BOUND -> new CentralFifoStrategy(simulation, Integer.MAX_VALUE);
    };
  }

  private static void scheduleCancellations(
      final ServiceSimulation simulation,
      final DispatchStrategy strategy,
      final List<Job> jobs,
      final Random random) {
    for (long at = CANCELLATION_INTERVAL_NANOS;
        at < JobSource.END_NANOS;
        at += CANCELLATION_INTERVAL_NANOS) {
      final long now = at;
      final List<Job> cancelled =
          jobs.stream()
              .filter(job -> job.arrivedNanos < now && now < job.deadlineNanos)
              .filter(job -> random.nextDouble() < CANCELLED_SHARE)
              .toList();
      simulation.loop.at(
          now,
          () ->
              cancelled.stream()
                  .filter(job -> !job.finished)
                  .forEach(
                      job -> {
                        job.finished = true;
                        strategy.cancel(job);
                      }));
    }
  }
}
