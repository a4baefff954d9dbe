package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.util.Set;
import java.util.function.ObjLongConsumer;
import org.lentilsail.policy.job.MachineInventory;

/** Reads the list of machines from time to time. */
final class MachineDirectory {
  /** Time in ns between lists. */
  private static final long LIST_NANOS = 250_000_000L;

  private final ControlContext parts;
  private final MachineInventory machines = new MachineInventory();
  private final MachineCommands commands;
  private final ObjLongConsumer<Set<String>> listed;
  private boolean listing;
  private long listedAt = Long.MIN_VALUE / 2;

  MachineDirectory(
      final ControlContext parts,
      final LeaderItems items,
      final ObjLongConsumer<Set<String>> listed) {
    this.parts = parts;
    this.listed = listed;
    this.commands = new MachineCommands(parts, items);
  }

  MachineInventory machines() {
    return machines;
  }

  /** Returns the record of the orders that are under way. */
  MachineCommands commands() {
    return commands;
  }

  void refresh(final long now) {
    if (listing || now - listedAt < LIST_NANOS) {
      return;
    }
    listing = true;
    listedAt = now;
    parts
        .machines()
        .list()
        .whenCompleteAsync(
            logged(
                (present, failure) -> {
                  listing = false;
                  if (failure != null) {
                    parts.log().log("machine-list-failed", "reason", failure.getMessage());
                  } else {
                    machines.replace(present, now);
                    listed.accept(machines.activeWorkers(), now);
                  }
                }),
            parts.executor());
  }
}
