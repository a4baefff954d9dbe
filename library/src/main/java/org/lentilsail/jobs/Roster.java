package org.lentilsail.jobs;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
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
  private final List<WorkerEntry> awaitingAdmission = new ArrayList<>();
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

  /** Restores the members that an earlier leader has persisted. */
  void restore(final List<WorkerEntry> persistedMembers) {
    persistedMembers.forEach(entry -> members.put(entry.id(), entry));
  }

  void admit(final WorkerEntry entry) {
    if (members.containsKey(entry.id())) {
      members.put(entry.id(), entry);
      onAdmitted.accept(entry);
      return;
    }
    members.put(entry.id(), entry);
    awaitingAdmission.add(entry);
    dirty = true;
    write();
  }

  /**
   * Removes a worker that is known to run nothing, so that a later leader does not have to poll it.
   */
  void remove(final String id) {
    if (members.remove(id) != null) {
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
    final List<WorkerEntry> newMembers = List.copyOf(awaitingAdmission);
    awaitingAdmission.clear();
    final RosterDocument document =
        new RosterDocument(members.values().stream().map(RosterDocument.Row::of).toList());
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

  private void handleOutcome(
      final LeaderItems.WriteOutcome outcome, final List<WorkerEntry> newMembers) {
    switch (outcome) {
      case APPLIED -> {
        newMembers.forEach(onAdmitted);
        write();
      }
      case SUPERSEDED -> superseded.run();
      default -> retry(newMembers);
    }
  }

  private void retry(final List<WorkerEntry> newMembers) {
    awaitingAdmission.addAll(newMembers);
    dirty = true;
    context.executor().schedule(this::write, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }
}
