package org.lentilsail.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's key-value store. Thread-safe. A failed call completes with {@code
 * LentilsailException}: {@code PLATFORM_UNAVAILABLE} if it has certainly changed nothing, {@code
 * OUTCOME_UNKNOWN} if a change may have been applied or may still be applied.
 */
public interface KeyValueStore {
  /**
   * Reads an item.
   *
   * @param key key of the item
   * @return the item, empty if it does not exist
   */
  CompletableFuture<Optional<StoredItem>> get(String key);

  /**
   * Reads a page of items.
   *
   * @param prefix prefix of their keys
   * @param after last key of the previous page, empty for the first page
   * @return the page
   */
  CompletableFuture<ItemPage> range(String prefix, String after);

  /**
   * Waits for changes.
   *
   * @param prefix prefix of the keys
   * @param afterRevision revision after which changes are returned
   * @param wait maximum time to wait
   * @return the changes
   */
  CompletableFuture<WatchBatch> watch(String prefix, long afterRevision, Duration wait);

  /**
   * Executes a transaction.
   *
   * @param transaction the transaction
   * @return the result
   */
  CompletableFuture<TransactionResult> commit(Transaction transaction);

  /**
   * Creates a lease.
   *
   * @param ttl time until it expires without renewal
   * @return the lease
   */
  CompletableFuture<GrantedLease> grantLease(Duration ttl);

  /**
   * Renews a lease.
   *
   * @param lease id of the lease
   * @return false if it has ended
   */
  CompletableFuture<Boolean> renewLease(long lease);

  /**
   * Revokes a lease and removes its items.
   *
   * @param lease id of the lease
   * @return a future that completes when the lease has ended
   */
  CompletableFuture<Void> revokeLease(long lease);
}
