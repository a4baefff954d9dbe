package org.lentilsail.dispatch;

import java.util.concurrent.CompletableFuture;

/** Hands out slots on workers. */
public interface SlotSource {
  /**
   * Asks for a slot. Cancelling the future takes the demand out of the queue.
   *
   * @param demand what is needed
   * @return the slot; fails with {@code LentilsailException} of code {@code OVERLOADED} or {@code
   *     NO_WORKER}, which both mean that nothing ran
   */
  CompletableFuture<Slot> acquire(SlotRequirements demand);
}
