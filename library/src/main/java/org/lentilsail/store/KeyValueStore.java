package org.lentilsail.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store. Thread-safe. A call fails with {@code LentilsailException}: {@code
 * PLATFORM_UNAVAILABLE} when it has certainly changed nothing, {@code OUTCOME_UNKNOWN} when a
 * change may have been made or may still be made.
 */
public interface KeyValueStore {
  /**
   * Reads an item.
   *
   * @param key key of the item
   * @return the item, empty when it does not exist
   */
  CompletableFuture<Optional<StoredItem>> get(String key);

  /**
   * Reads a page of items.
   *
   * @param prefix begin of their keys
   * @param after last key of the page before, empty for the first page
   * @return the page
   */
  CompletableFuture<ItemPage> range(String prefix, String after);

  /**
   * Waits for changes.
   *
   * @param prefix begin of the keys
   * @param afterRevision revision after which changes are wanted
   * @param wait longest time to wait
   * @return the changes
   */
  CompletableFuture<WatchBatch> watch(String prefix, long afterRevision, Duration wait);

  /**
   * Makes changes under conditions.
   *
   * @param commit the changes
   * @return the outcome
   */
  CompletableFuture<TransactionResult> commit(Transaction commit);

  /**
   * Creates a lease.
   *
   * @param ttl time until it ends without renewal
   * @return the lease
   */
  CompletableFuture<GrantedLease> grantLease(Duration ttl);

  /**
   * Renews a lease.
   *
   * @param lease number of the lease
   * @return false when it has ended
   */
  CompletableFuture<Boolean> renewLease(long lease);

  /**
   * Ends a lease and removes its items.
   *
   * @param lease number of the lease
   * @return completes when the lease has ended
   */
  CompletableFuture<Void> revokeLease(long lease);
}
