package org.lentilsail.jobs;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.lentilsail.concurrent.Callbacks;
import org.lentilsail.model.job.WorkerEntry;

/**
 * Persists which workers may have been assigned tasks; a worker is admitted only after that.
 * Confined to the control thread.
 */
final class Roster {
  private static final long RETRY_DELAY_MILLIS = 100;

  private final ControlContext context;
  private final Consumer<WorkerEntry> onAdmitted;
  private final Runnable superseded;
  private final Map<String, WorkerEntry> members = new LinkedHashMap<>();

  /** Members of which no confirmed write has persisted that they are on the roster. */
  private final Set<String> unpersisted = new LinkedHashSet<>();

  private final Map<String, String> machines = new HashMap<>();
  private final LeaderItems items;
  private boolean dirty;
  private boolean writeInFlight;
  private boolean closed;

  Roster(
      final ControlContext context,
      final LeaderItems items,
      final Consumer<WorkerEntry> onAdmitted,
      final Runnable superseded) {
    this.context = context;
    this.items = items;
    this.onAdmitted = onAdmitted;
    this.superseded = superseded;
  }

  /**
   * Records the machines of the members, so that the next leader finds out by the list of machines
   * which members have ended.
   *
   * @param machineOf returns the machine of a worker, empty if it is not known
   */
  void updateMachines(final Function<WorkerEntry, String> machineOf) {
    boolean changed = false;
    for (final WorkerEntry member : members.values()) {
      final String machine = machineOf.apply(member);
      changed |= !machine.isEmpty() && !machine.equals(machines.put(member.id(), machine));
    }
    if (changed) {
      dirty = true;
      write();
    }
  }

  /** Restores the members that an earlier leader has persisted. */
  void restore(final Collection<WorkerEntry> persistedMembers) {
    persistedMembers.forEach(entry -> members.put(entry.id(), entry));
  }

  /**
   * Admits a worker, at once if a confirmed write of the roster contains it. The next leader takes
   * a worker that the roster lacks for a terminated one and starts its tasks again.
   */
  void admit(final WorkerEntry entry) {
    final boolean isNew = members.put(entry.id(), entry) == null;
    if (isNew) {
      unpersisted.add(entry.id());
      dirty = true;
      write();
    } else if (!unpersisted.contains(entry.id())) {
      onAdmitted.accept(entry);
    }
  }

  /**
   * Removes a worker that is known to run nothing, so that a later leader does not have to poll it.
   */
  void remove(final String id) {
    if (members.remove(id) != null) {
      unpersisted.remove(id);
      machines.remove(id);
      dirty = true;
      write();
    }
  }

  void close() {
    closed = true;
  }

  private void write() {
    if (writeInFlight || closed || !dirty) {
      return;
    }
    writeInFlight = true;
    dirty = false;
    final List<String> newMembers = List.copyOf(unpersisted);
    final RosterDocument document =
        new RosterDocument(members.values().stream().map(this::row).toList());
    items.commit(
        context,
        items.write(items.newTransaction(), StoreKeys.ROSTER, Documents.write(document)),
        List.of(StoreKeys.ROSTER),
        (outcome, reason) -> {
          writeInFlight = false;
          if (!closed) {
            handleOutcome(outcome, newMembers);
          }
        });
  }

  private RosterDocument.Row row(final WorkerEntry member) {
    return RosterDocument.Row.of(member, machines.getOrDefault(member.id(), ""));
  }

  private void handleOutcome(
      final LeaderItems.WriteOutcome outcome, final List<String> newMembers) {
    switch (outcome) {
      case APPLIED -> {
        Callbacks.forEach("roster member", newMembers, this::admitPersisted);
        write();
      }
      case SUPERSEDED -> {
        superseded.run();
        retryLater();
      }
      default -> retryLater();
    }
  }

  /** Admits a member whose write is confirmed, unless it was removed while the write was sent. */
  private void admitPersisted(final String id) {
    if (unpersisted.remove(id)) {
      onAdmitted.accept(members.get(id));
    }
  }

  private void retryLater() {
    dirty = true;
    context.executor().schedule(this::write, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }
}
