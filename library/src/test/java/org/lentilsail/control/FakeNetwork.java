package org.lentilsail.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.lentilsail.peer.PeerHandler;
import org.lentilsail.peer.PeerMessage;
import org.lentilsail.peer.PeerNetwork;
import org.lentilsail.peer.PeerView;

/** Records the messages that a daemon sends. */
final class FakeNetwork implements PeerNetwork {
  final List<String> sent = new ArrayList<>();
  private final String self;

  FakeNetwork(final String self) {
    this.self = self;
  }

  @Override
  public String self() {
    return self;
  }

  @Override
  public long incarnation() {
    return 1;
  }

  @Override
  public List<PeerView> peers() {
    return List.of();
  }

  @Override
  public void send(final String peer, final PeerMessage message) {
    sent.add(peer + " " + ((ReportMessage) message).report().inFlight());
  }

  @Override
  public <R extends PeerMessage> CompletableFuture<R> request(
      final String peer,
      final PeerMessage message,
      final Duration timeout,
      final Class<R> replyType) {
    throw new UnsupportedOperationException("control sends no requests");
  }

  @Override
  public <M extends PeerMessage> void handle(
      final String name, final Class<M> type, final PeerHandler<M> handler) {}

  @Override
  public void onPeerChange(final Consumer<PeerView> listener) {}
}
