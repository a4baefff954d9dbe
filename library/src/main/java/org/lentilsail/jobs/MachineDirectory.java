package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.util.HashSet;
import java.util.Set;
import org.lentilsail.policy.job.MachineBook;

/** Reads the list of machines from time to time and knows which have an order under way. */
final class MachineDirectory {
  /** Time in ns between lists. */
  private static final long LIST_NANOS = 250_000_000L;

  private final ControlParts parts;
  private final MachineBook machines = new MachineBook();
  private final Set<String> ordered = new HashSet<>();
  private boolean listing;
  private long listedAt = Long.MIN_VALUE / 2;

  MachineDirectory(final ControlParts parts) {
    this.parts = parts;
  }

  MachineBook machines() {
    return machines;
  }

  /** Marks an order as under way; false when the machine has one already. */
  boolean begin(final String machine) {
    return ordered.add(machine);
  }

  void end(final String machine) {
    ordered.remove(machine);
  }

  Set<String> ordered() {
    return ordered;
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
                  }
                }),
            parts.executor());
  }
}
