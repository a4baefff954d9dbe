package org.lentilsail.peer;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** Dispatches messages to the handlers of their types. */
final class MessageHandlers {
  private final PeerCodec codec;
  private final PeerMetrics metrics;

  /** Registrations by name of the message type. */
  private final Map<String, Registration<?>> registrations = new ConcurrentHashMap<>();

  MessageHandlers(final PeerCodec codec, final PeerMetrics metrics) {
    this.codec = codec;
    this.metrics = metrics;
  }

  <M extends PeerMessage> void add(
      final String name, final Class<M> type, final PeerHandler<M> handler) {
    codec.registerName(type, name);
    registrations.put(name, new Registration<>(type, handler));
  }

  /**
   * Calls the handler of a message.
   *
   * @param from id of the sender
   * @param envelope the message
   * @param replies receives the reply when the message expects one
   */
  void dispatch(final String from, final Envelope envelope, final Consumer<PeerMessage> replies) {
    final Registration<?> registration = registrations.get(envelope.type());
    final CompletableFuture<? extends PeerMessage> reply =
        registration == null ? unknown(from, envelope) : call(registration, from, envelope);
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
      final Registration<M> registration, final String from, final Envelope envelope) {
    final M message = codec.decodeContent(envelope, registration.type());
    CompletableFuture<? extends PeerMessage> result;
    if (message == null) {
      result = unknown(from, envelope);
    } else {
      try {
        result = registration.handler().handle(from, message);
      } catch (final RuntimeException error) {
        Logger.error(
            error, "peer: the handler of message {} from {} failed", envelope.type(), from);
        result = CompletableFuture.failedFuture(error);
      }
    }
    return result == null ? CompletableFuture.completedFuture(null) : result;
  }

  private CompletableFuture<PeerMessage> unknown(final String from, final Envelope envelope) {
    metrics.countUnknownMessage();
    Logger.debug(
        "peer: message {} from {} has an unknown type or unreadable content",
        envelope.type(),
        from);
    return CompletableFuture.completedFuture(
        new RequestFailed(
            "message " + envelope.type() + " has an unknown type or unreadable content"));
  }

  /**
   * A handler with the type of its messages.
   *
   * @param type the type
   * @param handler the handler
   * @param <M> the type
   */
  private record Registration<M extends PeerMessage>(Class<M> type, PeerHandler<M> handler) {}
}
