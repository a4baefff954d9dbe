package org.lentilsail.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** Progress of a graceful shutdown and the number of requests in flight. */
final class ShutdownState {
  /** Requests between the arrival of their head and the end of their response. */
  private final AtomicInteger inFlight = new AtomicInteger();

  /** Completed when new requests are rejected and none is in flight. */
  private final CompletableFuture<Void> completion = new CompletableFuture<>();

  /** Whether the shutdown has begun. */
  private volatile boolean stopping;

  /** Whether new requests are rejected. */
  private volatile boolean rejecting;

  void requestStarted() {
    inFlight.incrementAndGet();
  }

  void requestEnded() {
    if (inFlight.decrementAndGet() == 0 && rejecting) {
      completion.complete(null);
    }
  }

  int inFlight() {
    return inFlight.get();
  }

  boolean isStopping() {
    return stopping;
  }

  boolean isRejecting() {
    return rejecting;
  }

  void beginShutdown() {
    stopping = true;
  }

  void rejectRequests() {
    stopping = true;
    rejecting = true;
    if (inFlight.get() == 0) {
      completion.complete(null);
    }
  }

  CompletableFuture<Void> completion() {
    return completion;
  }
}
