package org.lentilsail.policy.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Computes the target CPU capacity of each pool. The demand of a queue rises within a second to
 * several times its mean, stays there for some seconds and falls again, and the queues peak one
 * after the other. The target therefore follows running, waiting and arriving work at once, decays
 * slowly, and includes a base capacity that absorbs the start of a burst until machines have moved.
 * Confined to the control thread.
 */
public final class PoolTargets {
  /**
   * Headroom factor over running and waiting work; tasks of different sizes leave fragments of
   * their workers unused.
   */
  private static final double HEADROOM = 1.2;

  /**
   * Headroom factor over arriving work; at the start of a burst, half of the measuring interval
   * lies before it.
   */
  private static final double ARRIVAL_HEADROOM = 1.5;

  /**
   * Limit of the arriving work as a multiple of running and waiting work; a single large job is not
   * a burst.
   */
  private static final long ARRIVAL_LIMIT = 2;

  /**
   * Time constant in ns of the decay; an unused target falls to about a third (1/e) in this time.
   */
  private static final double DECAY_NANOS = 2_500_000_000.0;

  /** Number of workers that an idle pool keeps in addition to its long-running tasks. */
  private static final int BASE_WORKERS = 3;

  private final Map<String, Long> previous = new HashMap<>();
  private long updatedAt = Long.MIN_VALUE / 2;

  /**
   * Starts an update of all targets.
   *
   * @param now monotonic time in ns
   * @return decay factor for the previous targets
   */
  double startUpdate(final long now) {
    final double decay = Math.exp(-(now - updatedAt) / DECAY_NANOS);
    updatedAt = now;
    return decay;
  }

  /**
   * Computes the target of a pool.
   *
   * @param load load of the pool
   * @param decay decay factor for the previous target
   * @return target capacity in millicores
   */
  long targetCpu(final PoolLoad load, final double decay) {
    final long now = load.batchRunning().cpuMillis() + load.waitingCpu();
    final long arriving =
        Math.min((long) (ARRIVAL_HEADROOM * load.arrivingCpu()), ARRIVAL_LIMIT * now);
    final long busy = Math.max((long) (HEADROOM * now), arriving);
    final long decayed = (long) (previous.getOrDefault(load.service(), 0L) * decay);
    final long base =
        load.workers() == 0 ? 0 : BASE_WORKERS * load.capacity().cpuMillis() / load.workers();
    final long batchCpu = Math.max(Math.max(busy, base), decayed);
    previous.put(load.service(), batchCpu);
    return load.longRunning().cpuMillis() + batchCpu;
  }
}
