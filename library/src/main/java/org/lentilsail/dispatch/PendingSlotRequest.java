package org.lentilsail.dispatch;

import java.util.concurrent.CompletableFuture;

/** A demand of this daemon that has no slot yet. */
final class PendingSlotRequest {
  /** The demand. */
  final SlotRequirements requirements;

  /** Receives the slot. */
  final CompletableFuture<Slot> result;

  /** Daemon that was asked last. */
  String dispatcher = "";

  /** Monotonic time of the last question. */
  long requestedNanos;

  PendingSlotRequest(final SlotRequirements demand, final CompletableFuture<Slot> result) {
    this.requirements = demand;
    this.result = result;
  }
}
