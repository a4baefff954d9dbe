package org.lentilsail.peer;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** Gives messages to the handlers of their types. */
final class MessageHandlers {
  /** Reads the messages. */
  private final PeerCodec codec;

  /** Counts messages without a handler. */
  private final PeerMetrics metrics;

  /** Handlers by name of the type. */
  private final Map<String, Entry<?>> entries = new ConcurrentHashMap<>();

  MessageHandlers(final PeerCodec codec, final PeerMetrics metrics) {
    this.codec = codec;
    this.metrics = metrics;
  }

  <M extends PeerMessage> void add(
      final String name, final Class<M> type, final PeerHandler<M> handler) {
    codec.registerName(type, name);
    entries.put(name, new Entry<>(type, handler));
  }

  /**
   * Handles a message.
   *
   * @param from id of the sender
   * @param envelope the message
   * @param replies takes the reply when the message asks for one
   */
  void dispatch(final String from, final Envelope envelope, final Consumer<PeerMessage> replies) {
    final Entry<?> entry = entries.get(envelope.type());
    final CompletableFuture<? extends PeerMessage> reply =
        entry == null ? unknown(from, envelope) : call(entry, from, envelope);
    if (envelope.request() != 0) {
      reply.whenComplete(
          (message, failure) -> {
            if (failure != null || message == null) {
              replies.accept(new RequestFailed(String.valueOf(failure)));
            } else {
              replies.accept(message);
            }
          });
    }
  }

  private <M extends PeerMessage> CompletableFuture<? extends PeerMessage> call(
      final Entry<M> entry, final String from, final Envelope envelope) {
    final M message = codec.decodeContent(envelope, entry.type());
    CompletableFuture<? extends PeerMessage> result;
    if (message == null) {
      result = unknown(from, envelope);
    } else {
      try {
        result = entry.handler().handle(from, message);
      } catch (final RuntimeException error) {
        Logger.error(error, "peer: message {} from {} was not handled", envelope.type(), from);
        result = CompletableFuture.failedFuture(error);
      }
    }
    return result == null ? CompletableFuture.completedFuture(null) : result;
  }

  private CompletableFuture<PeerMessage> unknown(final String from, final Envelope envelope) {
    metrics.countUnknownMessage();
    Logger.debug("peer: message {} from {} is not understood", envelope.type(), from);
    return CompletableFuture.completedFuture(
        new RequestFailed("message " + envelope.type() + " is not understood"));
  }

  /**
   * A handler with the type of its messages.
   *
   * @param type the type
   * @param handler the handler
   * @param <M> the type
   */
  private record Entry<M extends PeerMessage>(Class<M> type, PeerHandler<M> handler) {}
}
