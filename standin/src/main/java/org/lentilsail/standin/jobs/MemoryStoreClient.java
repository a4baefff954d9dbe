package org.lentilsail.standin.jobs;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.store.GrantedLease;
import org.lentilsail.store.ItemPage;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.StoredItem;
import org.lentilsail.store.Transaction;
import org.lentilsail.store.TransactionResult;
import org.lentilsail.store.WatchBatch;

/** The store as seen by one daemon, with the network delays and faults between the two. */
final class MemoryStoreClient implements KeyValueStore {
  /** Network delay in ms of a request, and again of its response. */
  private static final long NETWORK_DELAY_MILLIS = 2;

  /** Time in ms after which a request without a response fails. */
  private static final long TIMEOUT_MILLIS = 700;

  /** Delay in ms of requests that {@link StoreFault#LATE} executes late. */
  private static final long LATE_MILLIS = 2_000;

  private final MemoryStore store;
  private final String daemon;
  private final ScheduledExecutorService executor;

  MemoryStoreClient(
      final MemoryStore store, final String daemon, final ScheduledExecutorService executor) {
    this.store = store;
    this.daemon = daemon;
    this.executor = executor;
  }

  @Override
  public CompletableFuture<Optional<StoredItem>> get(final String key) {
    return call(false, () -> CompletableFuture.completedFuture(store.get(key)));
  }

  @Override
  public CompletableFuture<ItemPage> range(final String prefix, final String after) {
    return call(false, () -> delayed(store.range(prefix, after)));
  }

  @Override
  public CompletableFuture<WatchBatch> watch(
      final String prefix, final long afterRevision, final Duration wait) {
    return call(false, () -> store.watch(prefix, afterRevision, wait));
  }

  @Override
  public CompletableFuture<TransactionResult> commit(final Transaction transaction) {
    return call(true, () -> store.faults().of(daemon, transaction), () -> commitNow(transaction));
  }

  @Override
  public CompletableFuture<GrantedLease> grantLease(final Duration ttl) {
    return call(true, () -> CompletableFuture.completedFuture(store.grant(ttl)));
  }

  @Override
  public CompletableFuture<Boolean> renewLease(final long lease) {
    return call(true, () -> CompletableFuture.completedFuture(store.renew(lease)));
  }

  @Override
  public CompletableFuture<Void> revokeLease(final long lease) {
    return call(
        true,
        () -> {
          store.revoke(lease);
          return CompletableFuture.completedFuture(null);
        });
  }

  private CompletableFuture<ItemPage> delayed(final ItemPage page) {
    final long delayMillis = store.pageDelayMillis();
    if (delayMillis == 0) {
      return CompletableFuture.completedFuture(page);
    }
    final CompletableFuture<ItemPage> answer = new CompletableFuture<>();
    executor.schedule(() -> answer.complete(page), delayMillis, TimeUnit.MILLISECONDS);
    return answer;
  }

  private CompletableFuture<TransactionResult> commitNow(final Transaction transaction) {
    try {
      return CompletableFuture.completedFuture(store.commit(transaction));
    } catch (final LentilsailException error) {
      return CompletableFuture.failedFuture(error);
    }
  }

  private <T> CompletableFuture<T> call(
      final boolean isWrite, final Supplier<CompletableFuture<T>> action) {
    return call(isWrite, () -> store.faults().of(daemon), action);
  }

  private <T> CompletableFuture<T> call(
      final boolean isWrite,
      final Supplier<StoreFault> fault,
      final Supplier<CompletableFuture<T>> action) {
    final CompletableFuture<T> response = new CompletableFuture<>();
    executor.schedule(
        () -> receive(isWrite, fault, action, response),
        NETWORK_DELAY_MILLIS,
        TimeUnit.MILLISECONDS);
    return response;
  }

  private <T> void receive(
      final boolean isWrite,
      final Supplier<StoreFault> fault,
      final Supplier<CompletableFuture<T>> action,
      final CompletableFuture<T> response) {
    store.recordCall(isWrite);
    switch (fault.get()) {
      case REFUSED -> response.completeExceptionally(failure(ErrorCode.PLATFORM_UNAVAILABLE));
      case SILENT -> failAfterTimeout(isWrite, response);
      case LATE -> {
        executor.schedule(() -> run(action), LATE_MILLIS, TimeUnit.MILLISECONDS);
        failAfterTimeout(isWrite, response);
      }
      case ANSWERS_LOST -> {
        action.get();
        failAfterTimeout(isWrite, response);
      }
      default ->
          action
              .get()
              .thenApply(Function.identity())
              .whenComplete(
                  (value, error) ->
                      executor.schedule(
                          () -> respond(value, error, isWrite, fault, response),
                          NETWORK_DELAY_MILLIS + (isWrite ? store.answerDelayMillis(daemon) : 0),
                          TimeUnit.MILLISECONDS));
    }
  }

  private static void run(final Supplier<?> action) {
    action.get();
  }

  /** Delivers a response, unless a fault has begun while the response was in transit. */
  private <T> void respond(
      final T value,
      final Throwable error,
      final boolean isWrite,
      final Supplier<StoreFault> fault,
      final CompletableFuture<T> response) {
    if (fault.get() != StoreFault.NONE) {
      failAfterTimeout(isWrite, response);
    } else if (error != null) {
      response.completeExceptionally(error);
    } else {
      response.complete(value);
    }
  }

  private <T> void failAfterTimeout(final boolean isWrite, final CompletableFuture<T> response) {
    executor.schedule(
        () ->
            response.completeExceptionally(
                failure(isWrite ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.PLATFORM_UNAVAILABLE)),
        TIMEOUT_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private static LentilsailException failure(final ErrorCode code) {
    return new LentilsailException(code, "the store does not respond", "repair the store");
  }
}
