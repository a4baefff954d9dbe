package org.lentilsail.idempotency;

import java.util.concurrent.CompletableFuture;
import org.lentilsail.entry.EntryResponse;

/** What the owner remembers of one key; guarded by the lock of its table. */
final class KeyEntry {
  /** The key. */
  private final IdempotencyKey key;

  /** Identifies the request that the key belongs to. */
  private final String fingerprint;

  /** Completed with the outcome; repeats wait for it while the first attempt runs. */
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

  /** Drops the response to bound the memory; repeats learn that the request ran. */
  void discardResponse() {
    response = CompletableFuture.completedFuture(KeyErrorResponses.alreadyRan());
  }
}
