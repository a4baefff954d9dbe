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
 * A platform in memory whose calls complete at once. Each client has faults of its own. Call {@link
 * #tick()} after the clock has moved, so that leases lapse and watches end.
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

  /** Cuts this client off; calls fail and have no effect. */
  public void setDown(final boolean down) {
    this.down = down;
    if (down) {
      store.closeWatches(this);
    }
  }

  /** Writes of this client take effect, but their replies are lost. */
  public void setLoseReplies(final boolean lose) {
    this.loseReplies = lose;
  }

  /** Writes of this client time out and take effect in {@link #carryOutDelayed()}. */
  public void setDelayWrites(final boolean delay) {
    this.delayWrites = delay;
  }

  /** Lets the delayed writes take effect. */
  public synchronized void applyDelayedWrites() {
    final List<Runnable> all = List.copyOf(delayed);
    delayed.clear();
    all.forEach(Runnable::run);
    store.wake();
  }

  /** Lets leases lapse and answers watches. */
  public void tick() {
    store.wake();
  }

  /** Forgets the changes, so that watches from before are incomplete. */
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

  /** Returns the number of watches that wait. */
  public int waitingWatches() {
    return (int) store.watches.stream().filter(watch -> !watch.answer().isDone()).count();
  }

  /** Returns the operations that this client carried out, as {@code vm operation generation}. */
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
            throw new LentilsailException(ErrorCode.NOT_FOUND, "lease has lapsed", "grant one");
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
    final CompletableFuture<WatchResult> answer = new CompletableFuture<>();
    store.watches.add(
        new FakeStore.FakeWatch(
            this, prefix, afterRevision, store.time.nanos() + wait.toNanos(), answer));
    store.wake();
    return answer;
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
          final FakeStore.FakeLease present = store.leases.get(lease);
          if (present != null) {
            store.renew(lease, present.timeToLive());
          }
          return present != null;
        });
  }

  @Override
  public CompletableFuture<Void> revokeLease(final String lease) {
    return write(
        () -> {
          store.end(lease);
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
      result.completeExceptionally(unknown());
    } else {
      try {
        final T value = call.get();
        if (loseReplies) {
          result.completeExceptionally(unknown());
        } else {
          result.complete(value);
        }
      } catch (final LentilsailException error) {
        result.completeExceptionally(error);
      }
      store.wake();
    }
    return result;
  }

  private static LentilsailException unknown() {
    return new LentilsailException(
        ErrorCode.OUTCOME_UNKNOWN, "no reply from the platform", "read the key");
  }
}
