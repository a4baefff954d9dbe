package org.lentilsail.policy.dispatch;

/** Learns the run time of one kind of request. */
final class RunTimeEstimate {
  /** Weight of the newest run once enough runs are known. */
  private static final double NEWEST_WEIGHT = 1.0 / 16;

  /** Number of runs that the initial value counts for, so that one odd first run weighs little. */
  private static final int INITIAL_RUNS = 2;

  /** Number of runs that the estimate rests on. */
  private int runs = INITIAL_RUNS;

  /** Exponentially weighted mean in ns. */
  private double mean;

  /** Exponentially weighted mean deviation from the mean in ns. */
  private double deviation;

  /** Mean of the run times cut at the point of reclassification, in ns. */
  private double boundedMean;

  RunTimeEstimate(final double initialNanos, final double boundNanos) {
    mean = initialNanos;
    boundedMean = Math.min(initialNanos, boundNanos);
  }

  /** A run that outlives the bound counts as long from then on, so only its first part is short. */
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

  /** The low end of the expected run time: early refusal errs towards admission. */
  double lowNanos() {
    return Math.max(mean - deviation, mean / 4);
  }
}
