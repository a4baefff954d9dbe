package org.lentilsail.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.peer.PeerHandler;
import org.lentilsail.peer.PeerMessage;
import org.lentilsail.peer.PeerNetwork;
import org.lentilsail.peer.PeerView;

/** In-memory network of daemons whose links a test can cut. */
final class FakePeerNetwork {
  /** The daemons by id. */
  final Map<String, Node> nodes = new TreeMap<>();

  /** Cut links as {@code sender>receiver}. */
  final Set<String> cut = new HashSet<>();

  /** Queued tasks of all dispatcher threads. */
  final Deque<Runnable> tasks = new ArrayDeque<>();

  /** The clock. */
  private final ManualTimeSource time;

  FakePeerNetwork(final ManualTimeSource time) {
    this.time = time;
  }

  /** Runs tasks until none is left; the limit detects an endless exchange of messages. */
  void settle() {
    int left = 100_000;
    while (!tasks.isEmpty() && left-- > 0) {
      tasks.poll().run();
    }
    if (left <= 0) {
      throw new IllegalStateException("the daemons exchange messages without end");
    }
  }

  void cutBetween(final String first, final String second) {
    cut.add(first + '>' + second);
    cut.add(second + '>' + first);
  }

  /** Delivers a heartbeat over each link that is not cut. */
  void heartbeat() {
    nodes.values().forEach(Node::receiveHeartbeats);
  }

  /** The network as seen by one daemon. */
  final class Node implements PeerNetwork {
    /** Id of the daemon. */
    private final String id;

    /** Incarnation of the daemon. */
    long incarnation = 1;

    private final Map<Class<?>, PeerHandler<PeerMessage>> handlers = new HashMap<>();

    /** Monotonic time of the last heartbeat by sender. */
    private final Map<String, Long> lastHeartbeats = new TreeMap<>();

    /** Incarnation at the last heartbeat by sender. */
    private final Map<String, Long> incarnations = new HashMap<>();

    /** Notified of daemons that are new or have restarted. */
    private final List<Consumer<PeerView>> listeners = new ArrayList<>();

    Node(final String id) {
      this.id = id;
      nodes.put(id, this);
    }

    private void receiveHeartbeats() {
      for (final String other : nodes.keySet()) {
        if (!other.equals(id) && !cut.contains(other + '>' + id)) {
          lastHeartbeats.put(other, time.nanos());
          final long number = nodes.get(other).incarnation;
          if (!Long.valueOf(number).equals(incarnations.put(other, number))) {
            final PeerView view = new PeerView(other, number, "z", "r", true, true, 0);
            listeners.forEach(listener -> listener.accept(view));
          }
        }
      }
    }

    @Override
    public String self() {
      return id;
    }

    @Override
    public long incarnation() {
      return incarnation;
    }

    @Override
    public List<PeerView> peers() {
      final List<PeerView> result = new ArrayList<>();
      lastHeartbeats.forEach(
          (other, nanos) -> {
            final long silent = (time.nanos() - nanos) / 1_000_000;
            final long number = nodes.get(other).incarnation;
            result.add(new PeerView(other, number, "z", "r", silent < 1_000, true, silent));
          });
      return result;
    }

    @Override
    public void send(final String peer, final PeerMessage message) {
      tasks.add(
          () -> {
            final Node receiver = nodes.get(peer);
            if (receiver != null && !cut.contains(id + '>' + peer)) {
              receiver.handlers.get(message.getClass()).handle(id, message);
            }
          });
    }

    @Override
    public <R extends PeerMessage> CompletableFuture<R> request(
        final String peer,
        final PeerMessage message,
        final Duration timeout,
        final Class<R> replyType) {
      throw new UnsupportedOperationException("slots use one-way messages");
    }

    @Override
    @SuppressWarnings("unchecked")
    public <M extends PeerMessage> void handle(
        final String name, final Class<M> type, final PeerHandler<M> handler) {
      handlers.put(type, (PeerHandler<PeerMessage>) handler);
    }

    @Override
    public void onPeerChange(final Consumer<PeerView> listener) {
      listeners.add(listener);
    }
  }
}
