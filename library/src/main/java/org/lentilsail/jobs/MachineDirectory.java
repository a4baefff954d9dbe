package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.util.Set;
import java.util.function.ObjLongConsumer;
import org.lentilsail.policy.job.MachineBook;

/** Reads the list of machines from time to time. */
final class MachineDirectory {
  /** Time in ns between lists. */
  private static final long LIST_NANOS = 250_000_000L;

  private final ControlParts parts;
  private final MachineBook machines = new MachineBook();
  private final MachineOrders orders;
  private final ObjLongConsumer<Set<String>> listed;
  private boolean listing;
  private long listedAt = Long.MIN_VALUE / 2;

  MachineDirectory(
      final ControlParts parts,
      final HolderItems items,
      final ObjLongConsumer<Set<String>> listed) {
    this.parts = parts;
    this.listed = listed;
    this.orders = new MachineOrders(parts, items);
  }

  MachineBook machines() {
    return machines;
  }

  /** Returns the record of the orders that are under way. */
  MachineOrders orders() {
    return orders;
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
                    listed.accept(machines.carriedWorkers(), now);
                  }
                }),
            parts.executor());
  }
}
