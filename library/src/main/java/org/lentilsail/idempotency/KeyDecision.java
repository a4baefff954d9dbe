package org.lentilsail.idempotency;

import java.util.concurrent.CompletableFuture;
import org.lentilsail.entry.EntryResponse;

/**
 * What becomes of an attempt with a key.
 *
 * @param run whether the attempt runs the request; it must then call {@code KeyTable.finish}
 * @param response the response, complete at once for a refusal or a kept response
 */
public record KeyDecision(boolean run, CompletableFuture<EntryResponse> response) {
  /** Gives a response that is known already. */
  static KeyDecision completed(final EntryResponse response) {
    return new KeyDecision(false, CompletableFuture.completedFuture(response));
  }
}
