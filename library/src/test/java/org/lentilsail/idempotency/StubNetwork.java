package org.lentilsail.idempotency;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.lentilsail.peer.PeerHandler;
import org.lentilsail.peer.PeerMessage;
import org.lentilsail.peer.PeerNetwork;
import org.lentilsail.peer.PeerView;

/** Network of the daemon {@code self} with one peer {@code owner} whose replies the test sets. */
final class StubNetwork implements PeerNetwork {
  PeerHandler<KeyedRequest> keyedRequests;
  KeyedRequest sentRequest;
  Duration timeout;
  CompletableFuture<KeyedAnswer> reply;
  boolean ownerLive = true;
  long ownerIncarnation = 7;

  @Override
  public String self() {
    return "self";
  }

  @Override
  public long incarnation() {
    return 1;
  }

  @Override
  public List<PeerView> peers() {
    return List.of(new PeerView("owner", ownerIncarnation, "z", "r", ownerLive, true, 0));
  }

  @Override
  public void send(final String peer, final PeerMessage message) {
    throw new UnsupportedOperationException();
  }

  @Override
  @SuppressWarnings("unchecked")
  public <R extends PeerMessage> CompletableFuture<R> request(
      final String peer,
      final PeerMessage message,
      final Duration limit,
      final Class<R> replyType) {
    sentRequest = (KeyedRequest) message;
    timeout = limit;
    reply = new CompletableFuture<>();
    return (CompletableFuture<R>) reply;
  }

  @Override
  @SuppressWarnings("unchecked")
  public <M extends PeerMessage> void handle(
      final String name, final Class<M> type, final PeerHandler<M> handler) {
    if (type == KeyedRequest.class) {
      keyedRequests = (PeerHandler<KeyedRequest>) handler;
    }
  }

  @Override
  public void onPeerChange(final Consumer<PeerView> listener) {}
}
