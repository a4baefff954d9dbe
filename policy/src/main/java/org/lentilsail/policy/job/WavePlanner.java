package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

  private final Fleet fleet;
  private final MachineBook machines;
  private final Evacuation evacuation;
  private final Map<String, Long> emptyingSince = new HashMap<>();

  /** A machine to be maintained now. */
  public record Upkeep(Wave wave, Machine machine) {}

  /**
   * Creates a planner.
   *
   * @param fleet all workers
   * @param machines all machines
   * @param evacuation empties workers
   */
  public WavePlanner(final Fleet fleet, final MachineBook machines, final Evacuation evacuation) {
    this.fleet = fleet;
    this.machines = machines;
    this.evacuation = evacuation;
  }

  /**
   * Plans one wave.
   *
   * @param wave the wave
   * @param now monotonic time in ns
   * @return machines to be maintained now
   */
  public List<Upkeep> plan(final Wave wave, final long now) {
    final List<Upkeep> ready = new ArrayList<>();
    if (!machines.isKnown()) {
      return ready;
    }
    final int free = wave.request().atMost() - wave.down(machines);
    int emptying = 0;
    for (final Machine machine : candidates(wave, now)) {
      if (emptying >= free + AHEAD) {
        break;
      }
      emptying++;
      if (isEmpty(machine, now) && ready.size() < free) {
        ready.add(new Upkeep(wave, machine));
      }
    }
    return ready;
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

  private List<Machine> candidates(final Wave wave, final long now) {
    final List<Machine> found = new ArrayList<>();
    for (final String id : wave.request().machines()) {
      final Machine machine = machines.machine(id);
      if (machine == null) {
        wave.skip(id);
      } else if (wave.mayOrder(id, now) && machine.state() == MachineState.UP) {
        found.add(machine);
      }
    }
    found.sort(
        Comparator.comparing((Machine machine) -> !emptyingSince.containsKey(machine.worker()))
            .thenComparingInt(this::load));
    return found;
  }

  private int load(final Machine machine) {
    final WorkerState worker = fleet.worker(machine.worker());
    return worker == null ? 0 : worker.runs().size();
  }

  private boolean isEmpty(final Machine machine, final long now) {
    final WorkerState worker = fleet.worker(machine.worker());
    if (worker == null) {
      return true;
    }
    if (!worker.isCordoned()) {
      worker.cordoned(true);
      emptyingSince.put(worker.id(), now);
    }
    final long since = emptyingSince.computeIfAbsent(worker.id(), id -> now);
    return evacuation.advance(worker, since, now);
  }
}
