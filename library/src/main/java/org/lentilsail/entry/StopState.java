package org.lentilsail.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** Tells how far a graceful stop has come, and when no request is left. */
final class StopState {
  /** Requests from their head to the end of their response. */
  private final AtomicInteger inFlight = new AtomicInteger();

  /** Completed when new requests are refused and none is in flight. */
  private final CompletableFuture<Void> idle = new CompletableFuture<>();

  /** Whether the daemon is about to stop. */
  private volatile boolean stopping;

  /** Whether new requests are refused. */
  private volatile boolean refusing;

  void begin() {
    inFlight.incrementAndGet();
  }

  void end() {
    if (inFlight.decrementAndGet() == 0 && refusing) {
      idle.complete(null);
    }
  }

  int inFlight() {
    return inFlight.get();
  }

  boolean isStopping() {
    return stopping;
  }

  boolean isRefusing() {
    return refusing;
  }

  void stop() {
    stopping = true;
  }

  void refuse() {
    stopping = true;
    refusing = true;
    if (inFlight.get() == 0) {
      idle.complete(null);
    }
  }

  CompletableFuture<Void> idle() {
    return idle;
  }
}
