package org.lentilsail.measure.waiting;

import java.util.List;
import java.util.Random;

/** What is compared. */
enum Contender {
  /** The product's dispatcher and health code. */
  PRODUCT("product"),
  /** Least connections with one queue per worker. */
  LEAST_CONNECTIONS("least connections"),
  /** A central queue in order of arrival with the product's limit. */
  CENTRAL_FIFO("central FIFO"),
  /** Short work alone on all slots without failures. */
  BOUND("bound: short alone");

  /** Most jobs that wait in the product and in the central queue. */
  private static final int QUEUE_LIMIT = 256;

  /** Interval in ns of the waves of cancellations. */
  private static final long WAVE_NANOS = 3_000_000_000L;

  /** Part of the jobs under way whose callers leave in a wave. */
  private static final double WAVE_PART = 0.2;

  /** Text in the table. */
  private final String label;

  Contender(final String label) {
    this.label = label;
  }

  String label() {
    return label;
  }

  /** Runs all services of a deployment, which do not share workers. */
  JobStatistics run(final Deployment deployment, final long seed, final boolean failures) {
    final JobStatistics result = new JobStatistics();
    for (int service = 0; service < deployment.workers().size(); service++) {
      final ServiceSimulation world =
          new ServiceSimulation(deployment, service, seed, failures && this != BOUND, result);
      runService(world, service, seed);
    }
    return result;
  }

  private void runService(final ServiceSimulation world, final int service, final long seed) {
    final DispatchStrategy strategy = strategy(world);
    final List<Job> jobs = new JobSource(service, world.workers, seed).jobs();
    for (final Job job : jobs) {
      if (this != BOUND || job.isShort() && !job.poison) {
        world.loop.at(job.arrivedNanos, () -> strategy.arrive(job));
      }
    }
    if (this != BOUND) {
      planWaves(world, strategy, jobs, new Random(seed));
    }
    world.loop.run();
  }

  private DispatchStrategy strategy(final ServiceSimulation world) {
    return switch (this) {
      case PRODUCT -> new ProductStrategy(world);
      case LEAST_CONNECTIONS -> new LeastConnectionsStrategy(world);
      case CENTRAL_FIFO -> new CentralFifoStrategy(world, QUEUE_LIMIT);
      case BOUND -> new CentralFifoStrategy(world, Integer.MAX_VALUE);
    };
  }

  private static void planWaves(
      final ServiceSimulation world,
      final DispatchStrategy strategy,
      final List<Job> jobs,
      final Random random) {
    for (long at = WAVE_NANOS; at < JobSource.END_NANOS; at += WAVE_NANOS) {
      final long now = at;
      final List<Job> leaving =
          jobs.stream()
              .filter(job -> job.arrivedNanos < now && now < job.deadlineNanos)
              .filter(job -> random.nextDouble() < WAVE_PART)
              .toList();
      world.loop.at(
          now,
          () ->
              leaving.stream()
                  .filter(job -> !job.finished)
                  .forEach(
                      job -> {
                        job.finished = true;
                        strategy.cancel(job);
                      }));
    }
  }
}
