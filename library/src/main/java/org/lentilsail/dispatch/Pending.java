package org.lentilsail.dispatch;

import java.util.concurrent.CompletableFuture;

/** A demand of this daemon that has no slot yet. */
final class Pending {
  /** The demand. */
  final SlotDemand demand;

  /** Receives the slot. */
  final CompletableFuture<Slot> result;

  /** Daemon that was asked last. */
  String dispatcher = "";

  /** Monotonic time of the last question. */
  long askedNanos;

  Pending(final SlotDemand demand, final CompletableFuture<Slot> result) {
    this.demand = demand;
    this.result = result;
  }
}
