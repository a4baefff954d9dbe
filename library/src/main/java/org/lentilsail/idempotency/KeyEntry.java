package org.lentilsail.idempotency;

import java.util.concurrent.CompletableFuture;
import org.lentilsail.entry.EntryResponse;

/** State of one key at its owner; guarded by the lock of its {@link KeyTable}. */
final class KeyEntry {
  private final IdempotencyKey key;

  /** Hash of the request that the key belongs to. */
  private final String fingerprint;

  /** Completed with the response of the first attempt; repeats wait for it. */
  private CompletableFuture<EntryResponse> response = new CompletableFuture<>();

  KeyEntry(final IdempotencyKey key, final String fingerprint) {
    this.key = key;
    this.fingerprint = fingerprint;
  }

  IdempotencyKey key() {
    return key;
  }

  String fingerprint() {
    return fingerprint;
  }

  CompletableFuture<EntryResponse> response() {
    return response;
  }

  /** Discards the response to limit memory; repeats get an error that the request already ran. */
  void discardResponse() {
    response = CompletableFuture.completedFuture(KeyErrorResponses.alreadyRan());
  }
}
