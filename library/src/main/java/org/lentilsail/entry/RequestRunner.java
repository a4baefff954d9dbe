package org.lentilsail.entry;

import java.util.concurrent.CompletableFuture;

/** Runs requests. */
@FunctionalInterface
public interface RequestRunner {
  /**
   * Runs a request.
   *
   * @param request the request
   * @return the response, which may be an error response; fails only by cancellation, which cancels
   *     the slot request or the running call
   */
  CompletableFuture<EntryResponse> run(EntryRequest request);
}
