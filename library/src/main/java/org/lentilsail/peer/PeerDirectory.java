package org.lentilsail.peer;

import java.util.List;
import java.util.NavigableMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lentilsail.model.time.TimeSource;
import org.tinylog.Logger;

/** Registry of the peers and their liveness; modified on the event loop's thread. */
final class PeerDirectory {
  /** Time in ns without a message after which a peer is no longer live: four heartbeats. */
  private static final long LIVENESS_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final TimeSource time;
  private final NavigableMap<String, PeerState> peers = new ConcurrentSkipListMap<>();
  private final List<Consumer<PeerView>> listeners = new CopyOnWriteArrayList<>();

  PeerDirectory(final TimeSource time) {
    this.time = time;
  }

  PeerState peer(final String id) {
    return peers.computeIfAbsent(id, key -> new PeerState(key, time.nanos()));
  }

  List<PeerView> views() {
    final long now = time.nanos();
    return peers.values().stream().map(peer -> peer.view(now)).toList();
  }

  void addListener(final Consumer<PeerView> listener) {
    listeners.add(listener);
  }

  void identify(final PeerState peer, final Hello hello) {
    final boolean restarted = peer.incarnation() != 0 && peer.incarnation() != hello.incarnation();
    peer.identify(hello);
    if (restarted) {
      Logger.info("peer: {} has restarted", peer.id());
      notifyListeners(peer);
    }
  }

  void markLive(final PeerState peer) {
    final boolean wasLive = peer.isLive();
    peer.markLive(time.nanos());
    if (!wasLive) {
      Logger.info("peer: {} is live", peer.id());
      notifyListeners(peer);
    }
  }

  void checkLiveness() {
    final long now = time.nanos();
    for (final PeerState peer : peers.values()) {
      if (peer.isLive() && peer.silentNanos(now) >= LIVENESS_NANOS) {
        peer.markUnresponsive();
        Logger.info("peer: {} is unresponsive", peer.id());
        notifyListeners(peer);
      }
    }
  }

  private void notifyListeners(final PeerState peer) {
    final PeerView view = peer.view(time.nanos());
    for (final Consumer<PeerView> listener : listeners) {
      try {
        listener.accept(view);
      } catch (final RuntimeException error) {
        Logger.error(error, "peer: a listener failed");
      }
    }
  }
}
