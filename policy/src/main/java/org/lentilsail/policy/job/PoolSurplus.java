package org.lentilsail.policy.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.lentilsail.model.job.Machine;

/** Tracks since when each pool has had more capacity than its target. */
final class PoolSurplus {
  private final Map<String, Long> since = new HashMap<>();

  /**
   * Updates the surplus of each pool.
   *
   * @param pools the pools with their planned capacity
   * @param now monotonic time in ns
   */
  void update(final Collection<PlannedPool> pools, final long now) {
    for (final PlannedPool pool : pools) {
      if (pool.deficit() >= 0) {
        since.remove(pool.name);
      } else {
        since.putIfAbsent(pool.name, now);
      }
    }
  }

  /**
   * Returns whether a pool can give a machine away.
   *
   * @param pool the pool
   * @param machine a machine of the pool
   * @param minNanos time in ns for which the surplus must have lasted
   * @param now monotonic time in ns
   * @return whether the pool still meets its target and its minimum without the machine
   */
  boolean covers(
      final PlannedPool pool, final Machine machine, final long minNanos, final long now) {
    final Long begin = since.get(pool.name);
    return begin != null
        && now - begin >= minNanos
        && pool.workers > pool.minWorkers
        && pool.plannedCpu - machine.capacity().cpuMillis() >= pool.targetCpu;
  }
}
