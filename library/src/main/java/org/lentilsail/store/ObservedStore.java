package org.lentilsail.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Records for {@link StoreRetries} whether the calls to a store succeed. Thread-safe. */
public final class ObservedStore implements KeyValueStore {
  private final KeyValueStore store;
  private final StoreRetries retries;

  /**
   * Wraps a store.
   *
   * @param store executes the calls
   * @param retries receives their outcomes
   */
  public ObservedStore(final KeyValueStore store, final StoreRetries retries) {
    this.store = store;
    this.retries = retries;
  }

  @Override
  public CompletableFuture<Optional<StoredItem>> get(final String key) {
    return observed(store.get(key));
  }

  @Override
  public CompletableFuture<ItemPage> range(final String prefix, final String after) {
    return observed(store.range(prefix, after));
  }

  @Override
  public CompletableFuture<WatchBatch> watch(
      final String prefix, final long afterRevision, final Duration wait) {
    return observed(store.watch(prefix, afterRevision, wait));
  }

  @Override
  public CompletableFuture<TransactionResult> commit(final Transaction transaction) {
    return observed(store.commit(transaction));
  }

  @Override
  public CompletableFuture<GrantedLease> grantLease(final Duration ttl) {
    return observed(store.grantLease(ttl));
  }

  @Override
  public CompletableFuture<Boolean> renewLease(final long lease) {
    return observed(store.renewLease(lease));
  }

  @Override
  public CompletableFuture<Void> revokeLease(final long lease) {
    return observed(store.revokeLease(lease));
  }

  /** Returns the response itself, since a dependent one would wrap the failure. */
  private <T> CompletableFuture<T> observed(final CompletableFuture<T> response) {
    response.whenComplete(
        (value, failure) -> {
          if (failure == null) {
            retries.recordSuccess();
          } else {
            retries.recordFailure();
          }
        });
    return response;
  }
}
