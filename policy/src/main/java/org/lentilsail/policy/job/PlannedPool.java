package org.lentilsail.policy.job;

/** A pool while moves of machines are planned. */
final class PlannedPool {
  /** Share of its target that a pool lacks when its turn begins. */
  private static final double RISING_NEED = 0.2;

  final String name;

  /** Wanted processor in thousandths of a core. */
  final long wanted;

  final int minWorkers;

  /** Processor that the pool has or is about to get, in thousandths of a core. */
  long present;

  int workers;

  PlannedPool(final String name, final long wanted, final int minWorkers) {
    this.name = name;
    this.wanted = wanted;
    this.minWorkers = minWorkers;
  }

  /** Returns the missing processor; at least a little while there are too few workers. */
  long missing() {
    return workers < minWorkers ? Math.max(1, wanted - present) : wanted - present;
  }

  /** Returns the share of its target that the pool lacks. */
  double need() {
    return wanted <= 0 ? 0 : (double) missing() / wanted;
  }

  boolean isRising() {
    return need() > RISING_NEED;
  }
}
