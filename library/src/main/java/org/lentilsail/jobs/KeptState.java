package org.lentilsail.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lentilsail.model.job.WorkerEntry;
import org.lentilsail.store.ItemPage;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.RangeReader;
import org.lentilsail.store.StoredItem;

/**
 * What earlier holders have kept in the store.
 *
 * @param progress progress of jobs
 * @param waves machines maintained by wave
 * @param roster workers that may have been given work, empty when there was none
 * @param machineOrders machines with recent orders, empty when there was none
 */
record KeptState(
    List<StoredItem> progress,
    List<StoredItem> waves,
    Optional<StoredItem> roster,
    Optional<StoredItem> machineOrders) {

  static CompletableFuture<KeptState> read(final KeyValueStore store) {
    final CompletableFuture<ItemPage> progress = RangeReader.readAll(store, StoreKeys.PROGRESS);
    final CompletableFuture<ItemPage> waves = RangeReader.readAll(store, StoreKeys.WAVES);
    final CompletableFuture<Optional<StoredItem>> roster = store.get(StoreKeys.ROSTER);
    final CompletableFuture<Optional<StoredItem>> orders = store.get(StoreKeys.MACHINE_ORDERS);
    return CompletableFuture.allOf(progress, waves, roster, orders)
        .thenApply(
            done ->
                new KeptState(
                    progress.join().items(), waves.join().items(), roster.join(), orders.join()));
  }

  /** Returns the workers that may have been given work. */
  List<WorkerEntry> members() {
    return roster
        .flatMap(item -> Documents.<RosterDocument>read(Documents.ROSTER, item))
        .map(document -> document.workers().stream().map(RosterDocument.Row::entry).toList())
        .orElse(List.of());
  }

  /** Returns all items. */
  List<StoredItem> all() {
    final List<StoredItem> items = new ArrayList<>(progress);
    items.addAll(waves);
    roster.ifPresent(items::add);
    machineOrders.ifPresent(items::add);
    return items;
  }
}
