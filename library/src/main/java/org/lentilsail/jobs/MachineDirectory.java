package org.lentilsail.jobs;

import static org.lentilsail.concurrent.Callbacks.logged;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.lentilsail.policy.job.MachineInventory;

/** Refreshes the list of machines periodically. */
final class MachineDirectory {
  /** Interval in ns between refreshes. */
  private static final long REFRESH_INTERVAL_NANOS = 250_000_000L;

  private final ControlContext context;
  private final MachineInventory machines = new MachineInventory();
  private final MachineCommands commands;
  private final Consumer<MachineInventory> onListed;
  private boolean refreshing;

  /**
   * Monotonic time in ns of the last refresh. The initial value lies before any monotonic time and
   * does not overflow in differences.
   */
  private long refreshedAt = Long.MIN_VALUE / 2;

  MachineDirectory(
      final ControlContext context,
      final LeaderItems items,
      final BooleanSupplier isLeader,
      final Consumer<MachineInventory> onListed) {
    this.context = context;
    this.onListed = onListed;
    this.commands = new MachineCommands(context, items, isLeader);
  }

  MachineInventory machines() {
    return machines;
  }

  /** Returns the record of pending commands. */
  MachineCommands commands() {
    return commands;
  }

  void refresh(final long now) {
    if (refreshing || now - refreshedAt < REFRESH_INTERVAL_NANOS) {
      return;
    }
    refreshing = true;
    refreshedAt = now;
    context
        .machines()
        .list()
        .whenCompleteAsync(
            logged(
                (list, failure) -> {
                  refreshing = false;
                  if (failure != null) {
                    context.log().log("machine-list-failed", "reason", failure.getMessage());
                  } else {
                    machines.replace(list, now);
                    onListed.accept(machines);
                  }
                }),
            context.executor());
  }
}
