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
 * Chooses which machines of a wave are emptied and which are maintained now. Machines that carry
 * nothing come first. One machine more than may be down is emptied ahead, so that the next one is
 * ready when a machine comes back. Owned by the control thread.
 */
public final class WavePlanner {
  /** Machines that are emptied while the permitted number is down. */
  private static final int AHEAD = 1;

  /** Share of the time of a wave in which it should be done; failures may hold up the rest. */
  private static final double FINISH_SHARE = 0.6;

  /** Time in ns from the emptying of a machine until it is back. */
  private static final long CYCLE_NANOS = 3_500_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Time in ns after which a worker that no entry names is taken as one without work. */
  private static final long UNKNOWN_NANOS = 3_000_000_000L;

  /** Time in ns for which all lists must lack a machine until it has left. */
  private static final long MISSING_NANOS = 2_000_000_000L;

  private final Map<String, Long> unknownSince = new HashMap<>();
  private final Map<String, Long> missingSince = new HashMap<>();
  private final Fleet fleet;
  private final MachineInventory machines;
  private final Evacuation evacuation;
  private final Map<String, Long> emptyingSince = new HashMap<>();

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
   * @param evacuation empties workers
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
   * @param isMoving whether a machine is about to move to another pool
   * @param blocked machines with an order that may still be carried out; they count as down
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
    moveLastingAhead(wave, now);
    final int free = concurrency(wave, now) - wave.down(machines, blocked);
    int emptying = 0;
    for (final Machine machine :
        candidates(wave, now, id -> isMoving.test(id) || blocked.contains(id))) {
      if (emptying >= free + AHEAD) {
        break;
      }
      emptying++;
      if (isEmpty(machine, now) && ready.size() < free) {
        ready.add(new Maintenance(wave, machine));
      }
    }
    return ready;
  }

  /** Moves tasks that last off the machines of the wave before it is their turn. */
  private void moveLastingAhead(final Wave wave, final long now) {
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
   * Ends the emptying of a worker.
   *
   * @param worker id of the worker
   */
  public void release(final String worker) {
    emptyingSince.remove(worker);
    final WorkerState state = fleet.worker(worker);
    if (state != null) {
      state.cordoned(false);
    }
  }

  /**
   * Returns how many machines should be down at once: no more than it takes to be done well before
   * the end, so that the pools keep their capacity.
   */
  private static int concurrency(final Wave wave, final long now) {
    final long end =
        wave.receivedAt()
            + (long) (wave.request().durationMillis() * NANOS_PER_MILLI * FINISH_SHARE);
    final double left = Math.max(end - now, CYCLE_NANOS);
    final int wanted = (int) Math.ceil(wave.remainingMachines() * (double) CYCLE_NANOS / left);
    return Math.min(wave.request().maxUnavailable(), wanted);
  }

  /**
   * Returns the machines that are being emptied.
   *
   * @return ids of the machines
   */
  public Set<String> evacuatingMachines() {
    final Set<String> found = new HashSet<>();
    for (final Machine machine : machines.all()) {
      if (emptyingSince.containsKey(machine.worker())) {
        found.add(machine.id());
      }
    }
    return found;
  }

  private List<Machine> candidates(
      final Wave wave, final long now, final Predicate<String> isMoving) {
    final List<Machine> found = new ArrayList<>();
    for (final String id : wave.request().machines()) {
      final Machine machine = machines.machine(id);
      if (machine != null) {
        missingSince.remove(id);
      }
      if (machine == null) {
        skipWhenGone(wave, id, now);
      } else if (wave.mayStart(id, now)
          && machine.state() == MachineState.UP
          && !isMoving.test(id)) {
        found.add(machine);
      }
    }
    found.sort(
        Comparator.comparing((Machine machine) -> !emptyingSince.containsKey(machine.worker()))
            .thenComparingInt(this::load));
    return found;
  }

  /** A machine that several lists lack has left; a single list may be older than the wave. */
  private void skipWhenGone(final Wave wave, final String id, final long now) {
    final long since = missingSince.computeIfAbsent(id, key -> now);
    if (machines.requestedAt() - since >= MISSING_NANOS) {
      wave.skip(id);
    }
  }

  private int load(final Machine machine) {
    final WorkerState worker = fleet.worker(machine.worker());
    return worker == null ? 0 : worker.runs().size();
  }

  /** A worker that is not known yet may hold work of an earlier holder. */
  private boolean hasLongBeenUnknown(final Machine machine, final long now) {
    final long since = unknownSince.computeIfAbsent(machine.worker(), id -> now);
    return now - since >= UNKNOWN_NANOS;
  }

  private boolean isEmpty(final Machine machine, final long now) {
    final WorkerState worker = fleet.worker(machine.worker());
    if (worker == null) {
      return machine.worker().isEmpty() || hasLongBeenUnknown(machine, now);
    }
    if (!worker.isSynced()) {
      return false;
    }
    if (!worker.isCordoned()) {
      worker.cordoned(true);
      emptyingSince.put(worker.id(), now);
    }
    final long since = emptyingSince.computeIfAbsent(worker.id(), id -> now);
    return evacuation.advance(worker, since, now);
  }
}
