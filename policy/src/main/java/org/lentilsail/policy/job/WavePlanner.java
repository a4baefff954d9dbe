package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.lentilsail.model.job.Machine;
import org.lentilsail.model.job.MachineState;

/**
 * Chooses which machines of a maintenance wave are evacuated and which are maintained now. Idle
 * machines come first. One machine more than may be down is evacuated in advance, so that the next
 * one is ready when a machine comes back. Confined to the control thread.
 */
public final class WavePlanner {
  /** Number of machines that are evacuated in advance while the permitted number is down. */
  private static final int EVACUATED_IN_ADVANCE = 1;

  /**
   * Share of the duration of a wave in which it should be complete; the rest is a reserve for
   * delays by failures.
   */
  private static final double COMPLETION_SHARE = 0.6;

  /** Expected time in ns from the start of the evacuation of a machine until it is back. */
  private static final long CYCLE_NANOS = 3_500_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Time in ns after which a worker that is missing from the registry is considered idle. */
  private static final long UNKNOWN_WORKER_NANOS = 3_000_000_000L;

  private final Map<String, Long> unknownSince = new HashMap<>();
  private final MissingMachines missing = new MissingMachines();
  private final Fleet fleet;
  private final MachineInventory machines;
  private final Evacuation evacuation;
  private final Map<String, Long> evacuatingSince = new HashMap<>();

  /**
   * A machine to be maintained now.
   *
   * @param wave the wave
   * @param machine the machine
   */
  public record Maintenance(Wave wave, Machine machine) {}

  /**
   * Creates a planner.
   *
   * @param fleet all workers
   * @param machines all machines
   * @param evacuation evacuates workers
   */
  public WavePlanner(
      final Fleet fleet, final MachineInventory machines, final Evacuation evacuation) {
    this.fleet = fleet;
    this.machines = machines;
    this.evacuation = evacuation;
  }

  /**
   * Plans one wave.
   *
   * @param wave the wave
   * @param now monotonic time in ns
   * @param isMoving returns whether a machine is about to move to another pool
   * @param blocked machines with a command that may still be executed; they count as down
   * @return machines to be maintained now
   */
  public List<Maintenance> plan(
      final Wave wave,
      final long now,
      final Predicate<String> isMoving,
      final Set<String> blocked) {
    final List<Maintenance> ready = new ArrayList<>();
    if (!machines.isKnown()) {
      return ready;
    }
    moveLongRunningInAdvance(wave, now);
    final int startable = concurrency(wave, now) - wave.downCount(machines, blocked);
    int evacuating = 0;
    for (final Machine machine :
        candidates(wave, now, id -> isMoving.test(id) || blocked.contains(id))) {
      if (evacuating >= startable + EVACUATED_IN_ADVANCE) {
        break;
      }
      evacuating++;
      if (advanceEvacuation(machine, now) && ready.size() < startable) {
        ready.add(new Maintenance(wave, machine));
      }
    }
    return ready;
  }

  /** Moves long-running tasks off the machines of the wave before these machines are evacuated. */
  private void moveLongRunningInAdvance(final Wave wave, final long now) {
    for (final WorkerState worker : pendingWorkers(wave)) {
      worker.maintenancePending(true);
    }
    for (final WorkerState worker : pendingWorkers(wave)) {
      if (worker.isResponding() && worker.isSynced()) {
        evacuation.moveLongRunning(worker, now);
      }
    }
  }

  private List<WorkerState> pendingWorkers(final Wave wave) {
    final List<WorkerState> workers = new ArrayList<>();
    for (final String id : wave.request().machines()) {
      final Machine machine = machines.machine(id);
      final WorkerState worker = machine == null ? null : fleet.worker(machine.worker());
      if (worker != null && !wave.startedMachines().contains(id)) {
        workers.add(worker);
      }
    }
    return workers;
  }

  /**
   * Cancels the evacuation of a worker.
   *
   * @param worker id of the worker
   */
  public void release(final String worker) {
    evacuatingSince.remove(worker);
    final WorkerState state = fleet.worker(worker);
    if (state != null) {
      state.cordoned(false);
    }
  }

  /**
   * Returns how many machines should be down at once: no more than needed to complete the wave well
   * before its end, so that the pools keep their capacity.
   */
  private static int concurrency(final Wave wave, final long now) {
    final long end =
        wave.receivedAt()
            + (long) (wave.request().durationMillis() * NANOS_PER_MILLI * COMPLETION_SHARE);
    final double remainingNanos = Math.max(end - now, CYCLE_NANOS);
    final int wanted =
        (int) Math.ceil(wave.remainingMachines() * (double) CYCLE_NANOS / remainingNanos);
    return Math.min(wave.request().maxUnavailable(), wanted);
  }

  /**
   * Returns the machines that are being evacuated.
   *
   * @return ids of the machines
   */
  public Set<String> evacuatingMachines() {
    final Set<String> found = new HashSet<>();
    for (final Machine machine : machines.all()) {
      if (evacuatingSince.containsKey(machine.worker())) {
        found.add(machine.id());
      }
    }
    return found;
  }

  private List<Machine> candidates(
      final Wave wave, final long now, final Predicate<String> isExcluded) {
    final List<Machine> found = new ArrayList<>();
    for (final String id : wave.request().machines()) {
      final Machine machine = machines.machine(id);
      if (machine != null) {
        missing.found(id);
      }
      if (machine == null) {
        skipIfRemoved(wave, id, now);
      } else if (wave.mayStart(id, now)
          && machine.state() == MachineState.UP
          && !isExcluded.test(id)) {
        found.add(machine);
      }
    }
    found.sort(
        Comparator.comparing((Machine machine) -> !evacuatingSince.containsKey(machine.worker()))
            .thenComparingInt(this::runCount));
    return found;
  }

  /** Skips a machine that has left for good; few lists may be older than the wave or lack it. */
  private void skipIfRemoved(final Wave wave, final String id, final long now) {
    if (missing.hasLeft(id, machines.requestedAt(), now)) {
      wave.skip(id);
    }
  }

  private int runCount(final Machine machine) {
    final WorkerState worker = fleet.worker(machine.worker());
    return worker == null ? 0 : worker.runs().size();
  }

  /**
   * Returns whether a worker has been unknown for long enough to be considered idle. A worker that
   * is not known yet may run tasks of an earlier leader.
   */
  private boolean hasLongBeenUnknown(final Machine machine, final long now) {
    final long since = unknownSince.computeIfAbsent(machine.worker(), id -> now);
    return now - since >= UNKNOWN_WORKER_NANOS;
  }

  private boolean advanceEvacuation(final Machine machine, final long now) {
    final WorkerState worker = fleet.worker(machine.worker());
    if (worker == null) {
      return machine.worker().isEmpty() || hasLongBeenUnknown(machine, now);
    }
    if (!worker.isSynced()) {
      return false;
    }
    if (!worker.isCordoned()) {
      worker.cordoned(true);
      evacuatingSince.put(worker.id(), now);
    }
    final long since = evacuatingSince.computeIfAbsent(worker.id(), id -> now);
    return evacuation.advance(worker, since, now);
  }
}
