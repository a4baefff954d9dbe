package org.lentilsail.policy.job;

/** Working state of a pool while moves of machines are planned. */
final class PlannedPool {
  /** Relative deficit above which a pool is considered to be at the start of a burst. */
  private static final double BURST_DEFICIT = 0.2;

  final String name;

  /** Target CPU capacity in millicores. */
  final long targetCpu;

  final int minWorkers;

  /** CPU capacity that the pool has or is about to get, in millicores. */
  long plannedCpu;

  int workers;

  PlannedPool(final String name, final long targetCpu, final int minWorkers) {
    this.name = name;
    this.targetCpu = targetCpu;
    this.minWorkers = minWorkers;
  }

  /**
   * Returns the missing CPU in millicores, negative for a surplus; at least 1 while the pool has
   * too few workers.
   */
  long deficit() {
    return workers < minWorkers ? Math.max(1, targetCpu - plannedCpu) : targetCpu - plannedCpu;
  }

  /** Returns the deficit as a share of the target. */
  double relativeDeficit() {
    return targetCpu <= 0 ? 0 : (double) deficit() / targetCpu;
  }

  boolean isBursting() {
    return relativeDeficit() > BURST_DEFICIT;
  }
}
