package org.lentilsail.policy.dispatch;

/** Estimates the run time of one kind of request from past runs. */
final class RunTimeEstimate {
  /** Weight of the newest run once enough runs are known. */
  private static final double NEWEST_WEIGHT = 1.0 / 16;

  /**
   * Number of runs that the initial value counts as, so that an outlier at the start has little
   * effect.
   */
  private static final int INITIAL_RUNS = 2;

  /** Number of runs in the estimate, including those of the initial value. */
  private int runs = INITIAL_RUNS;

  /** Exponentially weighted mean in ns. */
  private double mean;

  /** Exponentially weighted mean deviation from the mean in ns. */
  private double deviation;

  /** Mean of the run times capped at the reclassification limit, in ns. */
  private double boundedMean;

  RunTimeEstimate(final double initialNanos, final double boundNanos) {
    mean = initialNanos;
    boundedMean = Math.min(initialNanos, boundNanos);
  }

  /**
   * Adds a run. A run that exceeds the bound counts as long from then on, so only the time up to
   * the bound is short work.
   */
  void learn(final long runNanos, final long boundNanos) {
    runs++;
    final double weight = Math.max(NEWEST_WEIGHT, 1.0 / runs);
    deviation += weight * (Math.abs(runNanos - mean) - deviation);
    mean += weight * (runNanos - mean);
    boundedMean += weight * (Math.min(runNanos, boundNanos) - boundedMean);
  }

  double meanNanos() {
    return mean;
  }

  double boundedMeanNanos() {
    return boundedMean;
  }

  /**
   * Returns the lower end of the expected run time in ns, so that early refusals err towards
   * admission.
   */
  double lowNanos() {
    return Math.max(mean - deviation, mean / 4);
  }
}
