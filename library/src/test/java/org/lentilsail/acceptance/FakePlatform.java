package org.lentilsail.acceptance;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.platform.Listing;
import org.lentilsail.platform.PlatformClient;
import org.lentilsail.platform.VersionedValue;
import org.lentilsail.platform.VmOperation;
import org.lentilsail.platform.VmReport;
import org.lentilsail.platform.WatchResult;
import org.lentilsail.platform.WriteResult;

/** In-memory key-value service whose next writes can be lost, delayed or preceded by others. */
public final class FakePlatform implements PlatformClient {
  /** Faults of the next writes, in order; without an entry a write succeeds. */
  public final Deque<Fault> faults = new ArrayDeque<>();

  /** Runs before the next writes, in order, like concurrent writes of other operators. */
  public final Deque<Runnable> concurrentWrites = new ArrayDeque<>();

  /** Whether all calls fail. */
  public boolean down;

  private final Map<String, VersionedValue> values = new TreeMap<>();
  private final List<Runnable> delayed = new ArrayList<>();
  private long revision;

  /** Faults of a write. */
  public enum Fault {
    /** The write takes effect and the reply is lost. */
    REPLY_LOST,
    /** The write does not arrive, and its outcome is unknown to the sender. */
    WRITE_LOST,
    /** The write takes effect after the next read or write. */
    DELAYED,
    /** The write is rejected without effect. */
    UNAVAILABLE
  }

  @Override
  public CompletableFuture<Optional<VersionedValue>> get(final String key) {
    return reply(() -> Optional.ofNullable(values.get(key)));
  }

  @Override
  public CompletableFuture<Listing> list(final String prefix) {
    return reply(
        () ->
            new Listing(
                values.values().stream().filter(it -> it.key().startsWith(prefix)).toList(),
                revision));
  }

  @Override
  public CompletableFuture<WriteResult> compareAndSet(
      final String key,
      final long expectedRevision,
      final JsonNode value,
      final Optional<String> lease) {
    return write(() -> store(key, expectedRevision, Optional.of(value)));
  }

  @Override
  public CompletableFuture<WriteResult> delete(final String key, final long expectedRevision) {
    return write(() -> store(key, expectedRevision, Optional.empty()));
  }

  private CompletableFuture<WriteResult> write(final Supplier<WriteResult> write) {
    if (down) {
      return failed(ErrorCode.PLATFORM_UNAVAILABLE);
    }
    final Runnable first = concurrentWrites.poll();
    if (first != null) {
      first.run();
    }
    final Fault fault = faults.poll();
    CompletableFuture<WriteResult> result = failed(ErrorCode.OUTCOME_UNKNOWN);
    if (fault == null) {
      result = CompletableFuture.completedFuture(write.get());
      applyDelayedWrites();
    } else if (fault == Fault.REPLY_LOST) {
      write.get();
    } else if (fault == Fault.DELAYED) {
      delayed.add(write::get);
    } else if (fault == Fault.UNAVAILABLE) {
      result = failed(ErrorCode.PLATFORM_UNAVAILABLE);
    }
    return result;
  }

  private <T> CompletableFuture<T> reply(final Supplier<T> read) {
    final CompletableFuture<T> result =
        down
            ? failed(ErrorCode.PLATFORM_UNAVAILABLE)
            : CompletableFuture.completedFuture(read.get());
    applyDelayedWrites();
    return result;
  }

  private void applyDelayedWrites() {
    delayed.forEach(Runnable::run);
    delayed.clear();
  }

  private WriteResult store(final String key, final long expected, final Optional<JsonNode> value) {
    final Optional<VersionedValue> current = Optional.ofNullable(values.get(key));
    final long actual = current.map(VersionedValue::revision).orElse(0L);
    if (actual != expected) {
      return new WriteResult(false, actual, current);
    }
    revision++;
    value.ifPresentOrElse(
        json -> values.put(key, new VersionedValue(key, json, revision)), () -> values.remove(key));
    return new WriteResult(true, revision, Optional.empty());
  }

  private static <T> CompletableFuture<T> failed(final ErrorCode code) {
    return CompletableFuture.failedFuture(new LentilsailException(code, "fault", "repeat"));
  }

  @Override
  public CompletableFuture<WatchResult> watch(
      final String prefix, final long afterRevision, final Duration wait) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<String> grantLease(final Duration timeToLive) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Boolean> keepAlive(final String lease) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Void> revokeLease(final String lease) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<List<VmReport>> vms() {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Boolean> operate(
      final String vm, final VmOperation operation, final long bootGeneration) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void close() {}
}
