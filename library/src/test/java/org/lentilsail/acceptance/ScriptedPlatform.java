package org.lentilsail.acceptance;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.platform.Listing;
import org.lentilsail.platform.UnsupportedPlatform;
import org.lentilsail.platform.VersionedValue;
import org.lentilsail.platform.VersionedValues;
import org.lentilsail.platform.WriteResult;

/** In-memory key-value service whose next writes can be lost, delayed or preceded by others. */
public final class ScriptedPlatform extends UnsupportedPlatform {
  /** Faults of the next writes, in order; without an entry a write succeeds. */
  public final Deque<Fault> faults = new ArrayDeque<>();

  /** Runs before the next writes, in order, like concurrent writes of other operators. */
  public final Deque<Runnable> concurrentWrites = new ArrayDeque<>();

  /** Whether all calls fail. */
  public boolean down;

  private final VersionedValues values = new VersionedValues();
  private final List<Runnable> delayed = new ArrayList<>();

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
    return reply(() -> values.get(key));
  }

  @Override
  public CompletableFuture<Listing> list(final String prefix) {
    return reply(() -> values.list(prefix));
  }

  @Override
  public CompletableFuture<WriteResult> compareAndSet(
      final String key,
      final long expectedRevision,
      final JsonNode value,
      final Optional<String> lease) {
    return write(() -> values.compareAndSet(key, expectedRevision, Optional.of(value)));
  }

  @Override
  public CompletableFuture<WriteResult> delete(final String key, final long expectedRevision) {
    return write(() -> values.compareAndSet(key, expectedRevision, Optional.empty()));
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

  private static <T> CompletableFuture<T> failed(final ErrorCode code) {
    return CompletableFuture.failedFuture(new LentilsailException(code, "fault", "repeat"));
  }
}
