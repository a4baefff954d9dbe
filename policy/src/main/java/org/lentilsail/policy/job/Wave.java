package org.lentilsail.policy.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.lentilsail.model.job.Machine;
import org.lentilsail.model.job.MachineState;
import org.lentilsail.model.job.WaveRequest;

/** A maintenance wave and its progress; confined to the control thread. */
public final class Wave {
  private final WaveRequest request;
  private final long receivedAt;
  private final Set<String> startedMachines = new LinkedHashSet<>();
  private final Map<String, DownMachine> downMachines = new HashMap<>();
  private final Map<String, Long> retryAt = new HashMap<>();

  /**
   * A machine that is down for maintenance.
   *
   * @param worker id of the worker that ended, empty if there is none
   * @param earliestBack monotonic time in ns before which the machine cannot be back
   */
  private record DownMachine(String worker, long earliestBack) {}

  /**
   * Creates a wave without progress.
   *
   * @param request the request of the operator
   * @param receivedAt monotonic time in ns at which the request was received
   */
  public Wave(final WaveRequest request, final long receivedAt) {
    this.request = request;
    this.receivedAt = receivedAt;
  }

  /**
   * Returns the request.
   *
   * @return the request of the operator
   */
  public WaveRequest request() {
    return request;
  }

  /**
   * Returns the machines whose maintenance has started, and the machines that were skipped.
   *
   * @return ids of the machines
   */
  public Set<String> startedMachines() {
    return startedMachines;
  }

  /** Returns the number of machines that are not back from maintenance. */
  int remainingMachines() {
    int remaining = downMachines.size();
    for (final String machine : request.machines()) {
      if (!startedMachines.contains(machine) && !downMachines.containsKey(machine)) {
        remaining++;
      }
    }
    return remaining;
  }

  long receivedAt() {
    return receivedAt;
  }

  /**
   * Records that a maintenance command is about to be sent. The machine counts as down from now on.
   *
   * @param machine id of the machine
   * @param worker id of its worker, empty if there is none
   */
  public void markRequested(final String machine, final String worker) {
    downMachines.put(machine, new DownMachine(worker, Long.MAX_VALUE));
    retryAt.put(machine, Long.MAX_VALUE);
  }

  /**
   * Records that the maintenance of a machine has started.
   *
   * @param machine id of the machine
   * @param worker id of the worker that this ended, empty if there is none
   * @param earliestBack monotonic time in ns before which the machine cannot be back
   */
  public void markStarted(final String machine, final String worker, final long earliestBack) {
    startedMachines.add(machine);
    downMachines.put(machine, new DownMachine(worker, earliestBack));
    retryAt.remove(machine);
  }

  /**
   * Records that a machine needs no maintenance in this wave.
   *
   * @param machine id of the machine
   */
  public void skip(final String machine) {
    startedMachines.add(machine);
    downMachines.remove(machine);
    retryAt.remove(machine);
  }

  /**
   * Records that a maintenance command was rejected or not answered.
   *
   * @param machine id of the machine
   * @param worker id of its worker, empty if there is none
   * @param maybeStarted whether the command may have been executed
   * @param time monotonic time in ns from which the command may be repeated
   */
  public void retry(
      final String machine, final String worker, final boolean maybeStarted, final long time) {
    retryAt.put(machine, time);
    if (maybeStarted) {
      downMachines.put(machine, new DownMachine(worker, time));
    } else {
      downMachines.remove(machine);
    }
  }

  /**
   * Returns whether the wave is complete.
   *
   * @return whether the maintenance of each machine has started or was skipped
   */
  public boolean isComplete() {
    return startedMachines.containsAll(request.machines());
  }

  /**
   * Returns the number of machines that are down for the wave.
   *
   * @param machines the last list of machines
   * @param blocked machines with a command that may still be executed
   * @return number of machines whose maintenance has started, or may have started, and that are not
   *     back
   */
  int downCount(final MachineInventory machines, final Set<String> blocked) {
    downMachines
        .entrySet()
        .removeIf(entry -> startedMachines.contains(entry.getKey()) && isBack(entry, machines));
    final Set<String> unavailable = new HashSet<>(downMachines.keySet());
    for (final String id : request.machines()) {
      final Machine machine = machines.machine(id);
      if (machine != null && machine.state() == MachineState.UPKEEP
          || blocked.contains(id) && !startedMachines.contains(id)) {
        unavailable.add(id);
      }
    }
    return unavailable.size();
  }

  boolean mayStart(final String machine, final long now) {
    return !startedMachines.contains(machine)
        && now >= retryAt.getOrDefault(machine, Long.MIN_VALUE);
  }

  /**
   * Returns whether a list shows that a machine is back. One that it lacks may still be down; a
   * machine that has left for good is skipped after a while.
   */
  private static boolean isBack(
      final Map.Entry<String, DownMachine> entry, final MachineInventory machines) {
    if (machines.requestedAt() < entry.getValue().earliestBack()) {
      return false;
    }
    final Machine machine = machines.machine(entry.getKey());
    return machine != null
        && machine.state() == MachineState.UP
        && (machine.worker().isEmpty() || !machine.worker().equals(entry.getValue().worker()));
  }
}
