package org.lentilsail.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lentilsail.concurrent.Callbacks;
import org.lentilsail.model.job.TaskId;
import org.lentilsail.model.job.WorkerEntry;
import org.lentilsail.store.ItemPage;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.RangeReader;
import org.lentilsail.store.StoredItem;

/**
 * State that earlier leaders have persisted in the store.
 *
 * @param progress progress of jobs
 * @param waves maintained machines by wave
 * @param placements tasks that workers may have been assigned
 * @param roster workers that may have been assigned tasks, empty if there is none
 * @param machineCommands machines with recent commands, empty if there is none
 */
record PersistedState(
    List<StoredItem> progress,
    List<StoredItem> waves,
    List<StoredItem> placements,
    Optional<StoredItem> roster,
    Optional<StoredItem> machineCommands) {

  static CompletableFuture<PersistedState> read(final KeyValueStore store) {
    final CompletableFuture<ItemPage> progress = RangeReader.readAll(store, StoreKeys.PROGRESS);
    final CompletableFuture<ItemPage> waves = RangeReader.readAll(store, StoreKeys.WAVES);
    final CompletableFuture<ItemPage> placements = RangeReader.readAll(store, StoreKeys.PLACEMENTS);
    final CompletableFuture<Optional<StoredItem>> roster = store.get(StoreKeys.ROSTER);
    final CompletableFuture<Optional<StoredItem>> machineCommands =
        store.get(StoreKeys.MACHINE_COMMANDS);
    return CompletableFuture.allOf(progress, waves, placements, roster, machineCommands)
        .thenApply(
            done ->
                new PersistedState(
                    progress.join().items(),
                    waves.join().items(),
                    placements.join().items(),
                    roster.join(),
                    machineCommands.join()));
  }

  /** Returns the workers that may have been assigned tasks, with the ids of their machines. */
  Map<WorkerEntry, String> members() {
    final Map<WorkerEntry, String> members = new LinkedHashMap<>();
    roster
        .flatMap(item -> Documents.<RosterDocument>read(Documents.ROSTER, item))
        .ifPresent(
            document ->
                Callbacks.forEach(
                    "roster", document.workers(), row -> members.put(row.entry(), row.machine())));
    return members;
  }

  /** Returns the tasks that workers may have been assigned, by worker id. */
  Map<String, List<TaskId>> placementsByWorker() {
    final Map<String, List<TaskId>> tasksByWorker = new HashMap<>();
    for (final StoredItem item : placements) {
      Documents.<PlacementDocument>read(Documents.PLACEMENT, item)
          .ifPresent(
              document ->
                  tasksByWorker.put(
                      item.key().substring(StoreKeys.PLACEMENTS.length()), document.ids()));
    }
    return tasksByWorker;
  }

  /** Returns all items. */
  List<StoredItem> all() {
    final List<StoredItem> items = new ArrayList<>(progress);
    items.addAll(waves);
    items.addAll(placements);
    roster.ifPresent(items::add);
    machineCommands.ifPresent(items::add);
    return items;
  }
}
