package org.lentilsail.dispatch;

import java.util.concurrent.CompletableFuture;

/** Provides slots on workers. */
public interface SlotSource {
  /**
   * Acquires a slot. Cancelling the future removes the request from the queue.
   *
   * @param requirements requirements of the request
   * @return the slot; fails with {@code LentilsailException} of code {@code OVERLOADED} or {@code
   *     NO_WORKER}, both of which mean that the request did not run
   */
  CompletableFuture<Slot> acquire(SlotRequirements requirements);
}
