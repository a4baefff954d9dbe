package org.lentilsail.idempotency;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
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

/** Key-value service that loses and delays calls and replies at random. */
final class FakePlatform implements PlatformClient {
  private final Map<String, VersionedValue> values = new HashMap<>();
  private final List<Runnable> delayed = new ArrayList<>();
  private final Random random;
  private final int faultPercent;
  private long revision;

  FakePlatform(final Random random, final int faultPercent) {
    this.random = random;
    this.faultPercent = faultPercent;
  }

  /** Executes one of the delayed calls. */
  void deliverOne() {
    if (!delayed.isEmpty()) {
      delayed.remove(random.nextInt(delayed.size())).run();
    }
  }

  @Override
  public CompletableFuture<Optional<VersionedValue>> get(final String key) {
    return execute(() -> Optional.ofNullable(values.get(key)));
  }

  @Override
  public CompletableFuture<WriteResult> compareAndSet(
      final String key,
      final long expectedRevision,
      final JsonNode value,
      final Optional<String> lease) {
    return execute(() -> write(key, expectedRevision, value));
  }

  private WriteResult write(final String key, final long expected, final JsonNode value) {
    final VersionedValue current = values.get(key);
    final long actual = current == null ? 0 : current.revision();
    if (actual != expected) {
      return new WriteResult(false, actual, Optional.ofNullable(current));
    }
    revision++;
    values.put(key, new VersionedValue(key, value, revision));
    return new WriteResult(true, revision, Optional.empty());
  }

  private <T> CompletableFuture<T> execute(final Supplier<T> call) {
    final CompletableFuture<T> reply = new CompletableFuture<>();
    final int fault = random.nextInt(100) < faultPercent ? random.nextInt(4) : 4;
    switch (fault) {
      case 0 -> fail(reply);
      case 1 -> {
        call.get();
        fail(reply);
      }
      case 2 -> {
        delayed.add(call::get);
        fail(reply);
      }
      case 3 -> delayed.add(() -> reply.complete(call.get()));
      default -> reply.complete(call.get());
    }
    return reply;
  }

  private static void fail(final CompletableFuture<?> reply) {
    reply.completeExceptionally(
        new LentilsailException(ErrorCode.OUTCOME_UNKNOWN, "the reply is lost", "read again"));
  }

  @Override
  public CompletableFuture<Listing> list(final String prefix) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<WriteResult> delete(final String key, final long expectedRevision) {
    throw new UnsupportedOperationException();
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
