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

/** The store as one daemon sees it, with the delays and faults between the two. */
final class MemoryStoreClient implements KeyValueStore {
  /** Time in ms of a call and of its answer each. */
  private static final long WAY_MILLIS = 2;

  /** Time in ms after which a call without an answer is given up. */
  private static final long TIMEOUT_MILLIS = 700;

  /** Delay in ms of calls that are carried out late. */
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
    return call(false, () -> CompletableFuture.completedFuture(store.range(prefix, after)));
  }

  @Override
  public CompletableFuture<WatchBatch> watch(
      final String prefix, final long afterRevision, final Duration wait) {
    return call(false, () -> store.watch(prefix, afterRevision, wait));
  }

  @Override
  public CompletableFuture<TransactionResult> commit(final Transaction commit) {
    return call(true, () -> CompletableFuture.completedFuture(store.commit(commit)));
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

  private <T> CompletableFuture<T> call(
      final boolean changes, final Supplier<CompletableFuture<T>> action) {
    final CompletableFuture<T> answer = new CompletableFuture<>();
    executor.schedule(() -> arrive(changes, action, answer), WAY_MILLIS, TimeUnit.MILLISECONDS);
    return answer;
  }

  private <T> void arrive(
      final boolean changes,
      final Supplier<CompletableFuture<T>> action,
      final CompletableFuture<T> answer) {
    final StoreFault fault = store.faultOf(daemon);
    switch (fault) {
      case REFUSED -> answer.completeExceptionally(failure(ErrorCode.PLATFORM_UNAVAILABLE));
      case SILENT -> giveUp(changes, answer);
      case LATE -> {
        executor.schedule(() -> run(action), LATE_MILLIS, TimeUnit.MILLISECONDS);
        giveUp(changes, answer);
      }
      case ANSWERS_LOST -> {
        action.get();
        giveUp(changes, answer);
      }
      default ->
          action
              .get()
              .thenApply(Function.identity())
              .whenComplete(
                  (value, error) ->
                      executor.schedule(
                          () -> answered(value, error, changes, answer),
                          WAY_MILLIS,
                          TimeUnit.MILLISECONDS));
    }
  }

  private static void run(final Supplier<?> action) {
    action.get();
  }

  /** An answer is lost as well when the fault began while it was on its way. */
  private <T> void answered(
      final T value,
      final Throwable error,
      final boolean changes,
      final CompletableFuture<T> answer) {
    if (store.faultOf(daemon) != StoreFault.NONE) {
      giveUp(changes, answer);
    } else if (error != null) {
      answer.completeExceptionally(error);
    } else {
      answer.complete(value);
    }
  }

  private <T> void giveUp(final boolean changes, final CompletableFuture<T> answer) {
    executor.schedule(
        () ->
            answer.completeExceptionally(
                failure(changes ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.PLATFORM_UNAVAILABLE)),
        TIMEOUT_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private static LentilsailException failure(final ErrorCode code) {
    return new LentilsailException(code, "the store does not answer", "repair the store");
  }
}
