package org.lentilsail.peer;

import java.util.concurrent.CompletableFuture;

/**
 * A request that waits for its reply.
 *
 * @param frame the request on its way out
 * @param replyType type of the reply
 * @param deadlineNanos monotonic time at which it fails
 * @param reply completed with the reply
 * @param <R> type of the reply
 */
record PendingRequest<R extends PeerMessage>(
    OutboundFrame frame, Class<R> replyType, long deadlineNanos, CompletableFuture<R> reply) {

  /** Fails the request and makes sure that it is not sent afterwards. */
  void fail(final String peer, final String reason) {
    frame.cancel();
    reply.completeExceptionally(new PeerUnreachableException(peer, frame.isStarted(), reason));
  }

  void complete(final PeerCodec codec, final Envelope envelope, final String peer) {
    final R message = codec.decodeContent(envelope, replyType);
    if (message == null) {
      fail(peer, "its reply of type " + envelope.type() + " cannot be read");
    } else {
      reply.complete(message);
    }
  }
}
