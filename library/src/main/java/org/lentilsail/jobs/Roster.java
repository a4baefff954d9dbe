package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lentilsail.model.job.WorkerEntry;

/**
 * Keeps in the store which workers may have been given work; a worker is admitted only after that.
 * Owned by the control thread.
 */
final class Roster {
  private static final long RETRY_MILLIS = 100;

  private final ControlContext parts;
  private final Consumer<WorkerEntry> admitted;
  private final Runnable superseded;
  private final Map<String, WorkerEntry> members = new LinkedHashMap<>();
  private final List<WorkerEntry> waiting = new ArrayList<>();
  private final LeaderItems items;
  private boolean dirty;
  private boolean busy;
  private boolean closed;

  Roster(
      final ControlContext parts,
      final LeaderItems items,
      final Consumer<WorkerEntry> admitted,
      final Runnable superseded) {
    this.parts = parts;
    this.items = items;
    this.admitted = admitted;
    this.superseded = superseded;
  }

  /** Takes over the members that an earlier holder has kept. */
  void restore(final List<WorkerEntry> kept) {
    kept.forEach(entry -> members.put(entry.id(), entry));
  }

  void admit(final WorkerEntry entry) {
    if (members.containsKey(entry.id())) {
      members.put(entry.id(), entry);
      admitted.accept(entry);
      return;
    }
    members.put(entry.id(), entry);
    waiting.add(entry);
    dirty = true;
    write();
  }

  /** Removes a worker on which surely nothing runs, so that a later holder need not ask it. */
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
    if (busy || closed || !dirty) {
      return;
    }
    busy = true;
    dirty = false;
    final List<WorkerEntry> written = List.copyOf(waiting);
    waiting.clear();
    final RosterDocument document =
        new RosterDocument(members.values().stream().map(RosterDocument.Row::of).toList());
    parts
        .store()
        .commit(items.write(items.newTransaction(), StoreKeys.ROSTER, Documents.write(document)))
        .whenCompleteAsync(
            logged(
                (result, failure) -> {
                  busy = false;
                  if (closed) {
                    return;
                  }
                  final LeaderItems.WriteOutcome verdict =
                      failure == null
                          ? items.handleResult(result, List.of(StoreKeys.ROSTER))
                          : LeaderItems.WriteOutcome.CONFLICT;
                  switch (verdict) {
                    case APPLIED -> {
                      written.forEach(admitted);
                      write();
                    }
                    case SUPERSEDED -> superseded.run();
                    default -> again(written);
                  }
                }),
            parts.executor());
  }

  private void again(final List<WorkerEntry> written) {
    waiting.addAll(written);
    dirty = true;
    parts.executor().schedule(this::write, RETRY_MILLIS, TimeUnit.MILLISECONDS);
  }
}
