package org.lentilsail.policy.job;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lentilsail.model.job.Machine;
import org.lentilsail.model.job.MachineState;

/** The last list of machines; owned by the control thread. */
public final class MachineInventory {
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private long requestedAt = Long.MIN_VALUE;

  /**
   * Replaces the list.
   *
   * @param present all machines
   * @param sentAt monotonic time in ns at which the list was asked for
   */
  public void replace(final List<Machine> present, final long sentAt) {
    machines.clear();
    present.forEach(machine -> machines.put(machine.id(), machine));
    requestedAt = sentAt;
  }

  /**
   * Returns the age of the list.
   *
   * @return monotonic time in ns at which it was asked for, the smallest value before the first one
   */
  public long requestedAt() {
    return requestedAt;
  }

  /**
   * Tells whether there was a list.
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
   * @return the machine, null when the list lacks it
   */
  public Machine machine(final String id) {
    return machines.get(id);
  }

  /**
   * Returns the workers that working machines carry.
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
