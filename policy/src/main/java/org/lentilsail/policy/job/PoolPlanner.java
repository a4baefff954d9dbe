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
 * Plans moves of machines to pools with a deficit, from the spare pool and from pools with a
 * surplus, and back to the spare pool if no pool needs them. A machine is evacuated before it
 * moves. Confined to the control thread.
 */
public final class PoolPlanner {
  /** Time in ns of a surplus after which a pool gives a machine to another pool. */
  private static final long SURPLUS_NANOS = 400_000_000L;

  /** Time in ns of a surplus after which a pool returns a machine to the spare pool. */
  private static final long RETURN_NANOS = 1_500_000_000L;

  /**
   * Minimum time in ns that a machine stays in a pool; two moves cost as much as 2.3 s in a pool.
   */
  private static final long MIN_STAY_NANOS = 2_300_000_000L;

  /**
   * Time in ns after the start of a burst in which no pool returns machines. The burst soon needs
   * more of them, and a returned machine is available again only after two moves.
   */
  private static final long BURST_HOLD_NANOS = 2_000_000_000L;

  /** Time in ns within which a worker usually answers its first poll. */
  private static final long FIRST_CONTACT_NANOS = 250_000_000L;

  /** Minimum workers of a pool; while one is evacuated, long-running tasks need another one. */
  private static final int MIN_WORKERS = 2;

  /** Maximum number of machines that are evacuated for moves at the same time. */
  private static final int MAX_EVACUATING = 8;

  private final JobRegistry jobs;
  private final Fleet fleet;
  private final MachineInventory machines;
  private final Evacuation evacuation;
  private final PoolTargets targets = new PoolTargets();
  private final Map<String, Move> evacuating = new HashMap<>();
  private final PoolSurplus surplus = new PoolSurplus();
  private final Set<String> moving = new HashSet<>();
  private long burstAt = Long.MIN_VALUE / 2;

  /**
   * A move of a machine to another pool.
   *
   * @param machine the machine
   * @param pool name of the service that gets the machine
   * @param evacuationStart monotonic time in ns at which its evacuation started
   */
  public record Move(Machine machine, String pool, long evacuationStart) {}

  /**
   * Creates a planner.
   *
   * @param jobs all jobs
   * @param fleet all workers
   * @param machines all machines
   * @param evacuation evacuates workers
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
   * @param reserved machines that are being maintained or soon will be
   * @param now monotonic time in ns
   * @return moves to be executed now
   */
  public List<Move> plan(final List<PoolLoad> loads, final Set<String> reserved, final long now) {
    if (!machines.isKnown() || loads.isEmpty()) {
      return List.of();
    }
    final Map<String, PlannedPool> pools = pools(loads, now);
    final List<Move> ready = new ArrayList<>();
    advanceEvacuations(pools, now, ready);
    if (pools.values().stream().anyMatch(PlannedPool::isBursting)) {
      burstAt = now;
    }
    fillPools(pools, reserved, now, ready);
    if (now - burstAt >= BURST_HOLD_NANOS) {
      returnSurplus(pools, reserved, now, ready);
    }
    ready.forEach(move -> moving.add(move.machine().id()));
    return ready;
  }

  /**
   * Records that a move has ended or was rejected.
   *
   * @param machine id of the machine
   */
  public void moveEnded(final String machine) {
    moving.remove(machine);
  }

  /**
   * Returns whether a machine is about to move.
   *
   * @param machine id of the machine
   * @return whether it is being evacuated for a move or a move command was issued
   */
  public boolean isMoving(final String machine) {
    return moving.contains(machine) || evacuating.containsKey(machine);
  }

  private Map<String, PlannedPool> pools(final List<PoolLoad> loads, final long now) {
    final Map<String, PlannedPool> pools = new HashMap<>();
    final double decay = targets.startUpdate(now);
    for (final PoolLoad load : loads) {
      pools.put(
          load.service(),
          new PlannedPool(
              load.service(),
              targets.targetCpu(load, decay),
              Math.max(MIN_WORKERS, load.minWorkers() + 1)));
    }
    for (final Machine machine : machines.all()) {
      final PlannedPool pool = pools.get(machine.pool());
      if (pool != null && countsFor(machine, now)) {
        pool.plannedCpu += machine.capacity().cpuMillis();
        pool.workers++;
      }
    }
    return pools;
  }

  /**
   * Returns whether a machine counts for its pool: present or arriving, not leaving or failed. A
   * worker that a new leader has not reached within the usual time may be cut off.
   */
  private boolean countsFor(final Machine machine, final long now) {
    if (isMoving(machine.id()) || machine.state() == MachineState.DOWN) {
      return false;
    }
    final WorkerState worker = fleet.worker(machine.worker());
    return machine.state() != MachineState.UP
        || worker == null
        || worker.isRegistered()
            && (worker.isResponding()
                || !worker.isSynced() && now - worker.firstSeenAt() < FIRST_CONTACT_NANOS);
  }

  private void advanceEvacuations(
      final Map<String, PlannedPool> pools, final long now, final List<Move> ready) {
    final Iterator<Move> moves = evacuating.values().iterator();
    while (moves.hasNext()) {
      final Move move = moves.next();
      final Machine machine = machines.machine(move.machine().id());
      final WorkerState worker = fleet.worker(move.machine().worker());
      if (worker == null) {
        moves.remove();
      } else if (machine == null || machine.state() != MachineState.UP || isObsolete(move, pools)) {
        // The worker may live on, or start again under its id.
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

  /** Returns whether the current pool of the machine now needs it more than the target pool. */
  private static boolean isObsolete(final Move move, final Map<String, PlannedPool> pools) {
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
    surplus.update(pools.values(), now);
    final List<PlannedPool> inDeficit =
        pools.values().stream()
            .filter(pool -> pool.deficit() > 0)
            .sorted(Comparator.comparingDouble(PlannedPool::relativeDeficit).reversed())
            .toList();
    for (final PlannedPool pool : inDeficit) {
      Machine machine = selectMachine(pool, pools, reserved, now);
      while (machine != null && pool.deficit() > 0) {
        startMove(machine, pool, pools, now, ready);
        machine = selectMachine(pool, pools, reserved, now);
      }
    }
  }

  /** Starts a move; a null pool means the spare pool. */
  private void startMove(
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
    final Move move = new Move(machine, pool == null ? sparePool() : pool.name, now);
    final WorkerState worker = fleet.worker(machine.worker());
    if (worker == null || worker.isSafeToTerminate()) {
      if (worker != null) {
        worker.cordoned(true);
      }
      ready.add(move);
      moving.add(machine.id());
    } else {
      worker.cordoned(true);
      evacuating.put(machine.id(), move);
    }
  }

  /** Selects the machine with the lowest move cost for a pool, null if none can be taken. */
  private Machine selectMachine(
      final PlannedPool pool,
      final Map<String, PlannedPool> pools,
      final Set<String> reserved,
      final long now) {
    Machine best = null;
    int lowestCost = Integer.MAX_VALUE;
    for (final Machine machine : machines.all()) {
      if (!machine.pool().equals(pool.name) && isMovable(machine, reserved)) {
        final int cost = moveCost(machine, pools, now);
        if (cost < lowestCost) {
          best = machine;
          lowestCost = cost;
        }
      }
    }
    return best;
  }

  /**
   * Returns the cost of taking a machine: the number of runs that have to be evacuated, or {@code
   * Integer.MAX_VALUE} if it cannot be taken. A spare machine costs more than an idle one and less
   * than one with runs.
   */
  private int moveCost(
      final Machine machine, final Map<String, PlannedPool> pools, final long now) {
    if (machine.pool().equals(sparePool())) {
      return 1;
    }
    final PlannedPool from = pools.get(machine.pool());
    final WorkerState worker = fleet.worker(machine.worker());
    if (from == null
        || worker == null
        || !worker.isSynced()
        || !surplus.covers(from, machine, SURPLUS_NANOS, now)
        || evacuating.size() >= MAX_EVACUATING && !worker.runs().isEmpty()) {
      return Integer.MAX_VALUE;
    }
    return worker.runs().isEmpty() ? 0 : 1 + worker.runs().size();
  }

  private boolean isMovable(final Machine machine, final Set<String> reserved) {
    final WorkerState worker = fleet.worker(machine.worker());
    return machine.state() == MachineState.UP
        && !isMoving(machine.id())
        && !reserved.contains(machine.id())
        && (worker == null || !worker.isCordoned() && !worker.entry().draining());
  }

  private void returnSurplus(
      final Map<String, PlannedPool> pools,
      final Set<String> reserved,
      final long now,
      final List<Move> ready) {
    if (sparePool().isEmpty()) {
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
          && evacuating.size() < MAX_EVACUATING
          && now - worker.firstSeenAt() >= MIN_STAY_NANOS
          && surplus.covers(pool, machine, RETURN_NANOS, now)) {
        startMove(machine, null, pools, now, ready);
      }
    }
  }

  private String sparePool() {
    for (final ServiceSpec service : jobs.configuration().services()) {
      if (service.spare()) {
        return service.name();
      }
    }
    return "";
  }
}
