package org.lentilsail.policy.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.lentilsail.model.job.Machine;
import org.lentilsail.model.job.MachineState;
import org.lentilsail.model.job.WaveRequest;

/** One wave of maintenance and how far it has come; owned by the control thread. */
public final class Wave {
  private final WaveRequest request;
  private final long receivedAt;
  private final Set<String> startedMachines = new LinkedHashSet<>();
  private final Map<String, Down> down = new HashMap<>();
  private final Map<String, Long> retryAt = new HashMap<>();

  /**
   * A machine that is down for its maintenance.
   *
   * @param worker id of the worker that ended, empty for none
   * @param earliestBack monotonic time in ns before which the machine cannot be back
   */
  private record Down(String worker, long earliestBack) {}

  /**
   * Creates a wave of which nothing has been done.
   *
   * @param request what the operator asked for
   * @param receivedAt monotonic time in ns at which it became known
   */
  public Wave(final WaveRequest request, final long receivedAt) {
    this.request = request;
    this.receivedAt = receivedAt;
  }

  /**
   * Returns the request.
   *
   * @return what the operator asked for
   */
  public WaveRequest request() {
    return request;
  }

  /**
   * Returns the machines whose maintenance has begun.
   *
   * @return ids of the machines
   */
  public Set<String> startedMachines() {
    return startedMachines;
  }

  /** Counts the machines that are not back from their maintenance. */
  int remainingMachines() {
    int left = down.size();
    for (final String machine : request.machines()) {
      if (!startedMachines.contains(machine) && !down.containsKey(machine)) {
        left++;
      }
    }
    return left;
  }

  long receivedAt() {
    return receivedAt;
  }

  /**
   * Records that an order is about to be sent; from now on the machine counts as down.
   *
   * @param machine id of the machine
   * @param worker id of its worker, empty for none
   */
  public void markRequested(final String machine, final String worker) {
    down.put(machine, new Down(worker, Long.MAX_VALUE));
    retryAt.put(machine, Long.MAX_VALUE);
  }

  /**
   * Records that the maintenance of a machine has begun.
   *
   * @param machine id of the machine
   * @param worker id of the worker that ended with it, empty for none
   * @param earliestBack monotonic time in ns before which the machine cannot be back
   */
  public void markStarted(final String machine, final String worker, final long earliestBack) {
    startedMachines.add(machine);
    down.put(machine, new Down(worker, earliestBack));
    retryAt.remove(machine);
  }

  /**
   * Records that a machine needs no maintenance of this wave.
   *
   * @param machine id of the machine
   */
  public void skip(final String machine) {
    startedMachines.add(machine);
    down.remove(machine);
    retryAt.remove(machine);
  }

  /**
   * Records that an order was refused or not answered.
   *
   * @param machine id of the machine
   * @param worker id of its worker, empty for none
   * @param maybeBegun whether the order may have been carried out
   * @param time monotonic time in ns from which the order may be repeated
   */
  public void retry(
      final String machine, final String worker, final boolean maybeBegun, final long time) {
    retryAt.put(machine, time);
    if (maybeBegun) {
      down.put(machine, new Down(worker, time));
    } else {
      down.remove(machine);
    }
  }

  /**
   * Tells whether all machines are maintained.
   *
   * @return whether the maintenance of each has begun
   */
  public boolean isComplete() {
    return startedMachines.containsAll(request.machines());
  }

  /**
   * Counts the machines that are down for the wave.
   *
   * @param machines the last list of machines
   * @param blocked machines with an order that may still be carried out
   * @return machines whose maintenance has begun, or may have, and that have not come back
   */
  int down(final MachineInventory machines, final Set<String> blocked) {
    down.entrySet()
        .removeIf(entry -> startedMachines.contains(entry.getKey()) && isBack(entry, machines));
    final Set<String> all = new HashSet<>(down.keySet());
    for (final String id : request.machines()) {
      final Machine machine = machines.machine(id);
      if (machine != null && machine.state() == MachineState.UPKEEP
          || blocked.contains(id) && !startedMachines.contains(id)) {
        all.add(id);
      }
    }
    return all.size();
  }

  boolean mayStart(final String machine, final long now) {
    return !startedMachines.contains(machine)
        && now >= retryAt.getOrDefault(machine, Long.MIN_VALUE);
  }

  private static boolean isBack(
      final Map.Entry<String, Down> entry, final MachineInventory machines) {
    if (machines.requestedAt() < entry.getValue().earliestBack()) {
      return false;
    }
    final Machine machine = machines.machine(entry.getKey());
    return machine == null
        || (machine.state() == MachineState.UP
            && (machine.worker().isEmpty() || !machine.worker().equals(entry.getValue().worker())));
  }
}
