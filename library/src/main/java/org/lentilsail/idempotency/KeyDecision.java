package org.lentilsail.idempotency;

import java.util.concurrent.CompletableFuture;
import org.lentilsail.entry.EntryResponse;

/**
 * Decision about an attempt with a key.
 *
 * @param run whether the attempt must run the request and then call {@link KeyTable#complete}
 * @param response the response, already complete for an error response or a cached response
 */
public record KeyDecision(boolean run, CompletableFuture<EntryResponse> response) {
  /** Returns a decision against a run, with a complete response. */
  static KeyDecision completed(final EntryResponse response) {
    return new KeyDecision(false, CompletableFuture.completedFuture(response));
  }
}
