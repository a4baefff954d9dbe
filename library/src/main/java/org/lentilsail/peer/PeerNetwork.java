package org.lentilsail.peer;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Sends messages to the other daemons and tracks their liveness. */
public interface PeerNetwork {
  /**
   * Returns the id of this daemon.
   *
   * @return the id
   */
  String self();

  /**
   * Returns the incarnation of this daemon.
   *
   * @return a number that differs after each start
   */
  long incarnation();

  /**
   * Returns all other daemons that are configured or known.
   *
   * @return the daemons in order of id, live or not
   */
  List<PeerView> peers();

  /**
   * Sends a one-way message; it is dropped when the peer is not connected.
   *
   * @param peer id of the peer
   * @param message the message
   */
  void send(String peer, PeerMessage message);

  /**
   * Sends a request that expects a reply.
   *
   * @param peer id of the peer
   * @param message the request
   * @param timeout maximum wait for the reply
   * @param replyType type of the reply
   * @param <R> type of the reply
   * @return the reply; fails with {@code PeerUnreachableException}, which states whether the
   *     request may have reached the peer
   */
  <R extends PeerMessage> CompletableFuture<R> request(
      String peer, PeerMessage message, Duration timeout, Class<R> replyType);

  /**
   * Registers the handler of a type of message; call it before the network starts.
   *
   * @param name name of the type in frames
   * @param type the type
   * @param handler the handler
   * @param <M> the type
   */
  <M extends PeerMessage> void handle(String name, Class<M> type, PeerHandler<M> handler);

  /**
   * Registers a listener that is called when a peer becomes live, becomes unresponsive or restarts.
   *
   * @param listener receives the new state of the peer on the peer network's I/O thread
   */
  void onPeerChange(Consumer<PeerView> listener);
}
