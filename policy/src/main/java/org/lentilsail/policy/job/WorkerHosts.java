package org.lentilsail.policy.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.lentilsail.model.job.Machine;
import org.lentilsail.model.job.MachineState;
import org.lentilsail.model.job.WorkerEntry;

/**
 * Remembers on which machine the lists of machines have shown each worker. A list is read in pages
 * and is no snapshot, so a machine that it lacks may be there; only the row of the machine itself
 * shows that its worker has ended. Confined to the control thread.
 */
public final class WorkerHosts {
  private final Map<String, Host> hosts = new HashMap<>();
  private MachineInventory machines = new MachineInventory();
  private Set<String> activeWorkers = Set.of();

  /**
   * The machine of an incarnation of a worker; a later one may be on another machine.
   *
   * @param machine id of the machine
   * @param pool pool of the machine when it was seen with the worker, empty if not known
   * @param startTimeMillis start of the incarnation in ms since the Unix epoch
   */
  private record Host(String machine, String pool, long startTimeMillis) {}

  /**
   * Learns from a list, and forgets workers that are neither known nor in the list.
   *
   * @param list the list
   * @param startTimes start of the known incarnation of a worker in ms since the Unix epoch, -1 for
   *     a worker that is not known
   */
  public void update(final MachineInventory list, final ToLongFunction<String> startTimes) {
    machines = list;
    activeWorkers = list.activeWorkers();
    final Set<String> listed = new HashSet<>();
    for (final Machine machine : list.all()) {
      if (!machine.worker().isEmpty()) {
        listed.add(machine.worker());
        learn(machine, startTimes.applyAsLong(machine.worker()));
      }
    }
    hosts
        .keySet()
        .removeIf(worker -> !listed.contains(worker) && startTimes.applyAsLong(worker) < 0);
  }

  private void learn(final Machine machine, final long startTime) {
    final Host host = new Host(machine.id(), machine.pool(), startTime);
    final Host known = hosts.get(machine.worker());
    // The pool of a machine that is not up may be the one to which it is moving.
    if (machine.state() == MachineState.UP
        || known == null
        || known.startTimeMillis() != startTime) {
      hosts.put(machine.worker(), host);
    }
  }

  /**
   * Returns whether the last list shows that a worker has ended. It must have been requested after
   * the worker had become unresponsive.
   *
   * @param worker registry entry of the worker
   * @return whether the row of its machine shows another worker, another pool or another state than
   *     up, and no row shows the worker on a machine that is up
   */
  public boolean hasEnded(final WorkerEntry worker) {
    final Host host = host(worker);
    final Machine machine = host == null ? null : machines.machine(host.machine());
    if (machine == null || activeWorkers.contains(worker.id())) {
      return false;
    }
    return machine.state() != MachineState.UP
        || !machine.worker().isEmpty()
        || !host.pool().isEmpty() && !machine.pool().equals(host.pool());
  }

  /**
   * Returns what the last list shows of the machine of a worker.
   *
   * @param worker registry entry of the worker
   * @return the row for the log, empty if there is none
   */
  public String describe(final WorkerEntry worker) {
    final Host host = host(worker);
    final Machine machine = host == null ? null : machines.machine(host.machine());
    return machine == null
        ? ""
        : String.join(" ", machine.id(), machine.pool(), machine.state().name(), machine.worker())
            .strip();
  }

  /**
   * Returns the machine of a worker.
   *
   * @param worker registry entry of the worker
   * @return id of the machine, empty if it is not known
   */
  public String machineOf(final WorkerEntry worker) {
    final Host host = host(worker);
    return host == null ? "" : host.machine();
  }

  /**
   * Restores the machine of a worker that an earlier leader knew.
   *
   * @param worker registry entry of the worker
   * @param machine id of the machine
   */
  public void restore(final WorkerEntry worker, final String machine) {
    hosts.put(worker.id(), new Host(machine, "", worker.startTimeMillis()));
  }

  private Host host(final WorkerEntry worker) {
    final Host host = hosts.get(worker.id());
    return host == null || host.startTimeMillis() != worker.startTimeMillis() ? null : host;
  }
}
