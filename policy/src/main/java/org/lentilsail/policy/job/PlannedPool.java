package org.lentilsail.policy.job;

/** A pool while moves of machines are planned. */
final class PlannedPool {
  /** Share of its target that a pool lacks when its turn begins. */
  private static final double RISING_NEED = 0.2;

  final String name;

  /** Wanted processor in thousandths of a core. */
  final long targetCpu;

  final int minWorkers;

  /** Processor that the pool has or is about to get, in thousandths of a core. */
  long plannedCpu;

  int workers;

  PlannedPool(final String name, final long wanted, final int minWorkers) {
    this.name = name;
    this.targetCpu = wanted;
    this.minWorkers = minWorkers;
  }

  /** Returns the missing processor; at least a little while there are too few workers. */
  long deficit() {
    return workers < minWorkers ? Math.max(1, targetCpu - plannedCpu) : targetCpu - plannedCpu;
  }

  /** Returns the share of its target that the pool lacks. */
  double relativeDeficit() {
    return targetCpu <= 0 ? 0 : (double) deficit() / targetCpu;
  }

  boolean isBursting() {
    return relativeDeficit() > RISING_NEED;
  }
}
