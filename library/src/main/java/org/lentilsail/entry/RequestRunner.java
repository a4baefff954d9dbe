package org.lentilsail.entry;

import java.util.concurrent.CompletableFuture;

/** Runs requests. */
@FunctionalInterface
public interface RequestRunner {
  /**
   * Runs a request.
   *
   * @param request the request
   * @return the response, which may be a refusal; never fails but by cancellation, which gives up
   *     the place in the queue or the running call
   */
  CompletableFuture<EntryResponse> run(EntryRequest request);
}
