package org.lentilsail.idempotency;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.platform.UnsupportedPlatform;
import org.lentilsail.platform.VersionedValue;
import org.lentilsail.platform.VersionedValues;
import org.lentilsail.platform.WriteResult;

/** Key-value service that loses and delays calls and replies at random. */
final class LossyPlatform extends UnsupportedPlatform {
  private final VersionedValues values = new VersionedValues();
  private final List<Runnable> delayed = new ArrayList<>();
  private final Random random;
  private final int faultPercent;

  LossyPlatform(final Random random, final int faultPercent) {
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
    return execute(() -> values.get(key));
  }

  @Override
  public CompletableFuture<WriteResult> compareAndSet(
      final String key,
      final long expectedRevision,
      final JsonNode value,
      final Optional<String> lease) {
    return execute(() -> values.compareAndSet(key, expectedRevision, Optional.of(value)));
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
}
