package org.lentilsail.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** Tells how far a graceful stop has come, and when no request is left. */
final class ShutdownState {
  /** Requests from their head to the end of their response. */
  private final AtomicInteger inFlight = new AtomicInteger();

  /** Completed when new requests are refused and none is in flight. */
  private final CompletableFuture<Void> completion = new CompletableFuture<>();

  /** Whether the daemon is about to stop. */
  private volatile boolean stopping;

  /** Whether new requests are refused. */
  private volatile boolean refusing;

  void requestStarted() {
    inFlight.incrementAndGet();
  }

  void requestEnded() {
    if (inFlight.decrementAndGet() == 0 && refusing) {
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
    return refusing;
  }

  void beginShutdown() {
    stopping = true;
  }

  void rejectRequests() {
    stopping = true;
    refusing = true;
    if (inFlight.get() == 0) {
      completion.complete(null);
    }
  }

  CompletableFuture<Void> completion() {
    return completion;
  }
}
