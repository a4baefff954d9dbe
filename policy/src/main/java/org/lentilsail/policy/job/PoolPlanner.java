package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lentilsail.model.job.Machine;
import org.lentilsail.model.job.MachineState;
import org.lentilsail.model.job.ServiceSpec;

/**
 * Moves machines to the pools whose work they can do soonest: from the spare pool and from pools
 * with more than they need, and back to the spare pool when no pool needs them. A machine is
 * emptied before it moves. Owned by the control thread.
 */
public final class PoolPlanner {
  /** Time in ns for which a pool must have had a machine too many before it gives one to a pool. */
  private static final long SURPLUS_NANOS = 400_000_000L;

  /** Time in ns for which a pool must have had a machine too many before it gives one back. */
  private static final long IDLE_NANOS = 1_500_000_000L;

  /** Time in ns that a machine stays in a pool at least; two moves cost as much as 2.3 s there. */
  private static final long STAY_NANOS = 2_300_000_000L;

  /**
   * Time in ns after the begin of a turn for which no pool gives machines back. The turn needs more
   * a moment later, and a machine on its way to the spare pool comes back only after two moves.
   */
  private static final long KEEP_NANOS = 2_000_000_000L;

  /** Fewest workers of a pool; tasks that last must have somewhere to go when one is emptied. */
  private static final int MIN_WORKERS = 2;

  /** Machines that are emptied at once for moves. */
  private static final int MAX_EMPTYING = 8;

  private final JobRegistry jobs;
  private final Fleet fleet;
  private final MachineInventory machines;
  private final Evacuation evacuation;
  private final PoolTargets targets = new PoolTargets();
  private final Map<String, Move> emptying = new HashMap<>();
  private final Map<String, Long> surplusSince = new HashMap<>();
  private final Set<String> moving = new HashSet<>();
  private long risingAt = Long.MIN_VALUE / 2;

  /**
   * A machine to be moved.
   *
   * @param machine the machine
   * @param pool name of the service that gets the machine
   * @param since monotonic time in ns at which its emptying began
   */
  public record Move(Machine machine, String pool, long evacuationStart) {}

  /**
   * Creates a planner.
   *
   * @param jobs all jobs
   * @param fleet all workers
   * @param machines all machines
   * @param evacuation empties workers
   */
  public PoolPlanner(
      final JobRegistry jobs,
      final Fleet fleet,
      final MachineInventory machines,
      final Evacuation evacuation) {
    this.jobs = jobs;
    this.fleet = fleet;
    this.machines = machines;
    this.evacuation = evacuation;
  }

  /**
   * Plans moves.
   *
   * @param loads loads of the pools
   * @param reserved machines that are being maintained or are about to be
   * @param now monotonic time in ns
   * @return machines to be moved now
   */
  public List<Move> plan(final List<PoolLoad> loads, final Set<String> reserved, final long now) {
    if (!machines.isKnown() || loads.isEmpty()) {
      return List.of();
    }
    final Map<String, PlannedPool> pools = pools(loads, now);
    final List<Move> ready = new ArrayList<>();
    advanceEmptying(pools, now, ready);
    if (pools.values().stream().anyMatch(PlannedPool::isBursting)) {
      risingAt = now;
    }
    fillPools(pools, reserved, now, ready);
    if (now - risingAt >= KEEP_NANOS) {
      returnIdle(pools, reserved, now, ready);
    }
    ready.forEach(move -> moving.add(move.machine().id()));
    return ready;
  }

  /**
   * Takes in that a move has ended, or that it was refused.
   *
   * @param machine id of the machine
   */
  public void moveEnded(final String machine) {
    moving.remove(machine);
  }

  /**
   * Tells whether a machine is about to move.
   *
   * @param machine id of the machine
   * @return whether it is being emptied or ordered to move
   */
  public boolean isMoving(final String machine) {
    return moving.contains(machine) || emptying.containsKey(machine);
  }

  private Map<String, PlannedPool> pools(final List<PoolLoad> loads, final long now) {
    final Map<String, PlannedPool> pools = new HashMap<>();
    final double share = targets.startUpdate(now);
    for (final PoolLoad load : loads) {
      pools.put(
          load.service(),
          new PlannedPool(
              load.service(),
              targets.targetCpu(load, share),
              Math.max(MIN_WORKERS, load.minWorkers() + 1)));
    }
    for (final Machine machine : machines.all()) {
      final PlannedPool pool = pools.get(machine.pool());
      if (pool != null && countsFor(machine)) {
        pool.plannedCpu += machine.capacity().cpuMillis();
        pool.workers++;
      }
    }
    return pools;
  }

  /** Machines on their way to a pool count for it; those that leave or have failed do not. */
  private boolean countsFor(final Machine machine) {
    if (isMoving(machine.id()) || machine.state() == MachineState.DOWN) {
      return false;
    }
    final WorkerState worker = fleet.worker(machine.worker());
    return machine.state() != MachineState.UP
        || worker == null
        || worker.isRegistered() && (worker.isResponding() || !worker.isSynced());
  }

  private void advanceEmptying(
      final Map<String, PlannedPool> pools, final long now, final List<Move> ready) {
    final Iterator<Move> moves = emptying.values().iterator();
    while (moves.hasNext()) {
      final Move move = moves.next();
      final Machine machine = machines.machine(move.machine().id());
      final WorkerState worker = fleet.worker(move.machine().worker());
      if (machine == null || machine.state() != MachineState.UP || worker == null) {
        moves.remove();
      } else if (isNoLongerWanted(move, pools)) {
        worker.cordoned(false);
        moves.remove();
      } else {
        final PlannedPool pool = pools.get(move.pool());
        if (pool != null) {
          pool.plannedCpu += machine.capacity().cpuMillis();
          pool.workers++;
        }
        if (evacuation.advance(worker, move.evacuationStart(), now)) {
          ready.add(move);
          moves.remove();
        }
      }
    }
  }

  /** A machine stays when its own pool has come to need it more than the other one. */
  private static boolean isNoLongerWanted(final Move move, final Map<String, PlannedPool> pools) {
    final PlannedPool from = pools.get(move.machine().pool());
    final PlannedPool to = pools.get(move.pool());
    return from != null
        && from.deficit() > 0
        && (to == null || to.relativeDeficit() < from.relativeDeficit());
  }

  private void fillPools(
      final Map<String, PlannedPool> pools,
      final Set<String> reserved,
      final long now,
      final List<Move> ready) {
    noteSurplus(pools, now);
    final List<PlannedPool> needy =
        pools.values().stream()
            .filter(pool -> pool.deficit() > 0)
            .sorted(Comparator.comparingDouble(PlannedPool::relativeDeficit).reversed())
            .toList();
    for (final PlannedPool pool : needy) {
      Machine machine = source(pool, pools, reserved, now);
      while (machine != null && pool.deficit() > 0) {
        begin(machine, pool, pools, now, ready);
        machine = source(pool, pools, reserved, now);
      }
    }
  }

  private void noteSurplus(final Map<String, PlannedPool> pools, final long now) {
    for (final PlannedPool pool : pools.values()) {
      if (pool.deficit() >= 0) {
        surplusSince.remove(pool.name);
      } else {
        surplusSince.putIfAbsent(pool.name, now);
      }
    }
  }

  private void begin(
      final Machine machine,
      final PlannedPool pool,
      final Map<String, PlannedPool> pools,
      final long now,
      final List<Move> ready) {
    final long cpu = machine.capacity().cpuMillis();
    final PlannedPool from = pools.get(machine.pool());
    if (from != null) {
      from.plannedCpu -= cpu;
      from.workers--;
    }
    if (pool != null) {
      pool.plannedCpu += cpu;
      pool.workers++;
    }
    final Move move = new Move(machine, pool == null ? spare() : pool.name, now);
    final WorkerState worker = fleet.worker(machine.worker());
    if (worker == null || worker.isSafeToTerminate()) {
      if (worker != null) {
        worker.cordoned(true);
      }
      ready.add(move);
      moving.add(machine.id());
    } else {
      worker.cordoned(true);
      emptying.put(machine.id(), move);
    }
  }

  /** Chooses a machine for a pool: an empty one of a pool with too many, else a spare one. */
  private Machine source(
      final PlannedPool pool,
      final Map<String, PlannedPool> pools,
      final Set<String> reserved,
      final long now) {
    Machine best = null;
    int bestRuns = Integer.MAX_VALUE;
    for (final Machine machine : machines.all()) {
      if (!machine.pool().equals(pool.name) && isMovable(machine, reserved)) {
        final int runs = runsIfGiven(machine, pools, now);
        if (runs < bestRuns) {
          best = machine;
          bestRuns = runs;
        }
      }
    }
    return best;
  }

  /** Returns the runs on a machine that may be given away, or the largest number. */
  private int runsIfGiven(
      final Machine machine, final Map<String, PlannedPool> pools, final long now) {
    if (machine.pool().equals(spare())) {
      return 1;
    }
    final PlannedPool from = pools.get(machine.pool());
    final WorkerState worker = fleet.worker(machine.worker());
    if (from == null
        || worker == null
        || !worker.isSynced()
        || !hasTooMany(from, machine, now, SURPLUS_NANOS)
        || emptying.size() >= MAX_EMPTYING && !worker.runs().isEmpty()) {
      return Integer.MAX_VALUE;
    }
    return worker.runs().isEmpty() ? 0 : 1 + worker.runs().size();
  }

  private boolean hasTooMany(
      final PlannedPool pool, final Machine machine, final long now, final long nanos) {
    final Long since = surplusSince.get(pool.name);
    return since != null
        && now - since >= nanos
        && pool.workers > pool.minWorkers
        && pool.plannedCpu - machine.capacity().cpuMillis() >= pool.targetCpu;
  }

  private boolean isMovable(final Machine machine, final Set<String> reserved) {
    final WorkerState worker = fleet.worker(machine.worker());
    return machine.state() == MachineState.UP
        && !isMoving(machine.id())
        && !reserved.contains(machine.id())
        && (worker == null || !worker.isCordoned() && !worker.entry().draining());
  }

  private void returnIdle(
      final Map<String, PlannedPool> pools,
      final Set<String> reserved,
      final long now,
      final List<Move> ready) {
    if (spare().isEmpty()) {
      return;
    }
    for (final Machine machine : List.copyOf(machines.all())) {
      final PlannedPool pool = pools.get(machine.pool());
      final WorkerState worker = fleet.worker(machine.worker());
      if (pool != null
          && worker != null
          && worker.isSynced()
          && isMovable(machine, reserved)
          && worker.runs().stream().allMatch(TaskRun::isLongRunning)
          && emptying.size() < MAX_EMPTYING
          && now - worker.firstSeenAt() >= STAY_NANOS
          && hasTooMany(pool, machine, now, IDLE_NANOS)) {
        begin(machine, null, pools, now, ready);
      }
    }
  }

  private String spare() {
    for (final ServiceSpec service : jobs.configuration().services()) {
      if (service.spare()) {
        return service.name();
      }
    }
    return "";
  }
}
