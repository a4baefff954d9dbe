package org.lentilsail.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.time.TimeSource;

/**
 * In-memory platform whose calls complete immediately. Each client has its own injected faults.
 * Call {@link #tick()} after the clock has advanced, so that leases expire and watches end.
 */
public final class FakePlatform implements PlatformClient {
  private final FakeStore store;
  private final List<Runnable> delayed = new ArrayList<>();
  private final List<String> operations = new ArrayList<>();
  private boolean down;
  private boolean loseReplies;
  private boolean delayWrites;

  /** Creates a platform with a first client. */
  public FakePlatform(final TimeSource time) {
    this(new FakeStore(time));
  }

  private FakePlatform(final FakeStore store) {
    this.store = store;
  }

  /** Returns another client of the same platform, without faults. */
  public FakePlatform anotherClient() {
    return new FakePlatform(store);
  }

  /** Disconnects this client; its calls fail and have no effect. */
  public void setDown(final boolean down) {
    this.down = down;
    if (down) {
      store.closeWatches(this);
    }
  }

  /** Loses the replies of this client's writes, which take effect. */
  public void setLoseReplies(final boolean lose) {
    this.loseReplies = lose;
  }

  /**
   * Delays this client's writes: they time out and take effect in {@link #applyDelayedWrites()}.
   */
  public void setDelayWrites(final boolean delay) {
    this.delayWrites = delay;
  }

  /** Applies the delayed writes. */
  public synchronized void applyDelayedWrites() {
    final List<Runnable> all = List.copyOf(delayed);
    delayed.clear();
    all.forEach(Runnable::run);
    store.completeDueWatches();
  }

  /** Expires leases and completes watches. */
  public void tick() {
    store.completeDueWatches();
  }

  /** Compacts the history, so that watches from earlier revisions are incomplete. */
  public void compactChanges() {
    store.compactChanges();
  }

  /** Sets the list of VMs. */
  public void setVms(final List<VmReport> vms) {
    store.vms = List.copyOf(vms);
  }

  /** Returns the number of calls of all clients that reached the platform. */
  public int calls() {
    return store.calls;
  }

  /** Returns the number of pending watches. */
  public int waitingWatches() {
    return (int) store.watches.stream().filter(watch -> !watch.reply().isDone()).count();
  }

  /** Returns the operations executed for this client, as {@code vm operation generation}. */
  public List<String> operations() {
    return List.copyOf(operations);
  }

  @Override
  public CompletableFuture<Optional<VersionedValue>> get(final String key) {
    return read(() -> Optional.ofNullable(store.values.get(key)));
  }

  @Override
  public CompletableFuture<Listing> list(final String prefix) {
    return read(
        () ->
            new Listing(
                store.values.values().stream()
                    .filter(value -> value.key().startsWith(prefix))
                    .toList(),
                store.revision));
  }

  @Override
  public CompletableFuture<WriteResult> compareAndSet(
      final String key,
      final long expectedRevision,
      final JsonNode value,
      final Optional<String> lease) {
    return write(
        () -> {
          if (lease.isPresent() && !store.leases.containsKey(lease.get())) {
            throw new LentilsailException(
                ErrorCode.NOT_FOUND, "lease has expired", "grant a new lease");
          }
          return store.write(key, expectedRevision, Optional.of(value), lease);
        });
  }

  @Override
  public CompletableFuture<WriteResult> delete(final String key, final long expectedRevision) {
    return write(() -> store.write(key, expectedRevision, Optional.empty(), Optional.empty()));
  }

  @Override
  public CompletableFuture<WatchResult> watch(
      final String prefix, final long afterRevision, final Duration wait) {
    if (down) {
      return CompletableFuture.failedFuture(unavailable());
    }
    store.calls++;
    final CompletableFuture<WatchResult> reply = new CompletableFuture<>();
    store.watches.add(
        new FakeStore.FakeWatch(
            this, prefix, afterRevision, store.time.nanos() + wait.toNanos(), reply));
    store.completeDueWatches();
    return reply;
  }

  @Override
  public CompletableFuture<String> grantLease(final Duration timeToLive) {
    return write(
        () -> {
          final String id = UUID.randomUUID().toString();
          store.renew(id, timeToLive);
          return id;
        });
  }

  @Override
  public CompletableFuture<Boolean> keepAlive(final String lease) {
    return write(
        () -> {
          final FakeStore.FakeLease current = store.leases.get(lease);
          if (current != null) {
            store.renew(lease, current.timeToLive());
          }
          return current != null;
        });
  }

  @Override
  public CompletableFuture<Void> revokeLease(final String lease) {
    return write(
        () -> {
          store.revoke(lease);
          return null;
        });
  }

  @Override
  public CompletableFuture<List<VmReport>> vms() {
    return read(() -> store.vms);
  }

  @Override
  public CompletableFuture<Boolean> operate(
      final String vm, final VmOperation operation, final long bootGeneration) {
    return write(
        () -> {
          final boolean result =
              store.vms.stream()
                  .anyMatch(
                      report ->
                          report.vm().equals(vm) && report.bootGeneration() == bootGeneration);
          if (result) {
            operations.add(vm + " " + operation.text() + " " + bootGeneration);
          }
          return result;
        });
  }

  @Override
  public void close() {
    store.closeWatches(this);
  }

  static LentilsailException unavailable() {
    return new LentilsailException(
        ErrorCode.PLATFORM_UNAVAILABLE, "platform is down", "wait until it is back");
  }

  private <T> CompletableFuture<T> read(final Supplier<T> call) {
    if (down) {
      return CompletableFuture.failedFuture(unavailable());
    }
    store.calls++;
    store.expire();
    return CompletableFuture.completedFuture(call.get());
  }

  private synchronized <T> CompletableFuture<T> write(final Supplier<T> call) {
    if (down) {
      return CompletableFuture.failedFuture(unavailable());
    }
    store.calls++;
    store.expire();
    final CompletableFuture<T> result = new CompletableFuture<>();
    if (delayWrites) {
      delayed.add(call::get);
      result.completeExceptionally(outcomeUnknown());
    } else {
      try {
        final T value = call.get();
        if (loseReplies) {
          result.completeExceptionally(outcomeUnknown());
        } else {
          result.complete(value);
        }
      } catch (final LentilsailException error) {
        result.completeExceptionally(error);
      }
      store.completeDueWatches();
    }
    return result;
  }

  private static LentilsailException outcomeUnknown() {
    return new LentilsailException(
        ErrorCode.OUTCOME_UNKNOWN, "no reply from the platform", "read the key");
  }
}
