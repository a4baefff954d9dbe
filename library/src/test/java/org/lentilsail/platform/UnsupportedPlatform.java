package org.lentilsail.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Supports no call; a test double overrides those that its tests need. */
public abstract class UnsupportedPlatform implements PlatformClient {
  @Override
  public CompletableFuture<Optional<VersionedValue>> get(final String key) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Listing> list(final String prefix) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<WriteResult> compareAndSet(
      final String key,
      final long expectedRevision,
      final JsonNode value,
      final Optional<String> lease) {
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
