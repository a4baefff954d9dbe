package org.lentilsail.peer;

import java.util.concurrent.CompletableFuture;

/**
 * Handles messages of one type. It is called on the peer network's I/O thread and must not block.
 *
 * @param <M> type of the message
 */
@FunctionalInterface
public interface PeerHandler<M extends PeerMessage> {
  /**
   * Handles a message.
   *
   * @param from id of the sender
   * @param message the message
   * @return the reply for a request; ignored, and may be null, for a one-way message
   */
  CompletableFuture<? extends PeerMessage> handle(String from, M message);
}
