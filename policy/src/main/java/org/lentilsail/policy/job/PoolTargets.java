package org.lentilsail.policy.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Works out how much processor a pool should have. Demand of a queue rises within a second to
 * several times its mean, stays there for some seconds and falls again, while the queues take
 * turns: so the target follows at once what runs, waits and arrives, falls slowly, and keeps a base
 * that meets the begin of a rise until machines have moved. Owned by the control thread.
 */
public final class PoolTargets {
  /** Room over what runs, for tasks of different sizes that do not fill their workers. */
  private static final double ROOM = 1.2;

  /** Room over what arrives; at first the time over which it is counted is half empty. */
  private static final double RISE = 1.5;

  /** Most that arriving work counts over what runs and waits; one large job is no rise. */
  private static final long RISE_LIMIT = 2;

  /** Time in ns in which a target falls to a third when nothing holds it up. */
  private static final double FALL_NANOS = 2_500_000_000.0;

  /** Workers that an idle pool keeps beside its tasks that last. */
  private static final int BASE_WORKERS = 3;

  private final Map<String, Long> last = new HashMap<>();
  private long updatedAt = Long.MIN_VALUE / 2;

  /**
   * Begins an update of all targets.
   *
   * @param now monotonic time in ns
   * @return share of the last targets that still holds
   */
  double startUpdate(final long now) {
    final double share = Math.exp(-(now - updatedAt) / FALL_NANOS);
    updatedAt = now;
    return share;
  }

  /**
   * Works out the target of a pool.
   *
   * @param load load of the pool
   * @param share share of the last target that still holds
   * @return wanted capacity in thousandths of a core
   */
  long targetCpu(final PoolLoad load, final double share) {
    final long now = load.batchRunning().cpuMillis() + load.waitingCpu();
    final long rising = Math.min((long) (RISE * load.arrivingCpu()), RISE_LIMIT * now);
    final long busy = Math.max((long) (ROOM * now), rising);
    final long held = (long) (last.getOrDefault(load.service(), 0L) * share);
    final long base =
        load.workers() == 0 ? 0 : BASE_WORKERS * load.capacity().cpuMillis() / load.workers();
    final long variable = Math.max(Math.max(busy, base), held);
    last.put(load.service(), variable);
    return load.longRunning().cpuMillis() + variable;
  }
}
