package org.lentilsail.peer;

import java.util.concurrent.CompletableFuture;

/**
 * A request without a reply.
 *
 * @param frame frame of the request
 * @param replyType type of the reply
 * @param deadlineNanos monotonic time at which the request times out
 * @param reply completed with the reply
 * @param <R> type of the reply
 */
record PendingRequest<R extends PeerMessage>(
    OutboundFrame frame, Class<R> replyType, long deadlineNanos, CompletableFuture<R> reply) {

  /** Fails the request and prevents it from being sent afterwards. */
  void fail(final String peer, final String reason) {
    frame.cancel();
    reply.completeExceptionally(new PeerUnreachableException(peer, frame.isStarted(), reason));
  }

  void complete(final PeerCodec codec, final Envelope envelope, final String peer) {
    final R message = codec.decodeContent(envelope, replyType);
    if (message == null) {
      fail(peer, "the reply of type " + envelope.type() + " cannot be decoded");
    } else {
      reply.complete(message);
    }
  }
}
