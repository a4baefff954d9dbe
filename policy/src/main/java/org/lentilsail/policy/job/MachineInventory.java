package org.lentilsail.policy.job;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lentilsail.model.job.Machine;
import org.lentilsail.model.job.MachineState;

/** The last received list of machines; confined to the control thread. */
public final class MachineInventory {
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private long requestedAt = Long.MIN_VALUE;

  /**
   * Replaces the list.
   *
   * @param newMachines all machines
   * @param sentAt monotonic time in ns at which the list was requested
   */
  public void replace(final List<Machine> newMachines, final long sentAt) {
    machines.clear();
    newMachines.forEach(machine -> machines.put(machine.id(), machine));
    requestedAt = sentAt;
  }

  /**
   * Returns when the list was requested.
   *
   * @return monotonic time in ns, {@code Long.MIN_VALUE} before the first list
   */
  public long requestedAt() {
    return requestedAt;
  }

  /**
   * Returns whether a list has been received.
   *
   * @return whether the machines are known
   */
  public boolean isKnown() {
    return requestedAt != Long.MIN_VALUE;
  }

  /**
   * Finds a machine.
   *
   * @param id id of the machine
   * @return the machine, null if it is not in the list
   */
  public Machine machine(final String id) {
    return machines.get(id);
  }

  /**
   * Returns the workers on machines that are up.
   *
   * @return ids of the workers
   */
  public Set<String> activeWorkers() {
    final Set<String> workers = new HashSet<>();
    for (final Machine machine : machines.values()) {
      if (machine.state() == MachineState.UP) {
        workers.add(machine.worker());
      }
    }
    return workers;
  }

  /**
   * Returns all machines.
   *
   * @return the machines in the order of the list
   */
  public Collection<Machine> all() {
    return machines.values();
  }
}
