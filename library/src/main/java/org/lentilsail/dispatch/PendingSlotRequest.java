package org.lentilsail.dispatch;

import java.util.concurrent.CompletableFuture;

/** A slot request of this daemon that has no slot yet. */
final class PendingSlotRequest {
  final SlotRequirements requirements;
  final CompletableFuture<Slot> result;

  /** Daemon to which the request was last sent. */
  String dispatcher = "";

  /** Monotonic time at which the request was last sent. */
  long requestedNanos;

  PendingSlotRequest(final SlotRequirements requirements, final CompletableFuture<Slot> result) {
    this.requirements = requirements;
    this.result = result;
  }
}
