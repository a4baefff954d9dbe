package org.lentilsail.config;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.lentilsail.peer.PeerMessage;
import org.lentilsail.peer.PeerNetwork;
import org.lentilsail.peer.PeerView;
import org.tinylog.Logger;

/**
 * Exchanges changes with the peers. The daemon that watches the platform pushes changes within its
 * zone; a daemon that hears of a higher revision asks for what it lacks.
 */
public final class PeerSync {
  /** Longest time of a request for changes. */
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  /**
   * Time in ms that a daemon waits for the push of its own zone's watcher before it asks another
   * daemon, so that a change does not travel twice.
   */
  private static final long PUSH_GRACE_MILLIS = 100;

  /** The configuration. */
  private final ConfigurationStore store;

  /** The peers. */
  private final PeerNetwork network;

  /** The control thread. */
  private final ScheduledExecutorService control;

  /** Availability zone of this daemon. */
  private final String availabilityZone;

  /** Whether a request is under way or about to be sent. */
  private boolean asking;

  /**
   * Registers the messages with the network; call it before the network starts.
   *
   * @param store the configuration
   * @param network the peers
   * @param control the control thread
   * @param availabilityZone availability zone of this daemon
   */
  public PeerSync(
      final ConfigurationStore store,
      final PeerNetwork network,
      final ScheduledExecutorService control,
      final String availabilityZone) {
    this.store = store;
    this.network = network;
    this.control = control;
    this.availabilityZone = availabilityZone;
    network.handle(ChangesRequest.NAME, ChangesRequest.class, this::answer);
    network.handle(Changes.NAME, Changes.class, this::receive);
    network.handle(
        ChangeDeltas.NAME, ChangeDeltas.class, (from, message) -> receive(from, message.changes()));
  }

  /**
   * Takes note of a peer's heartbeat; callable from every thread.
   *
   * @param peer id of the peer
   * @param revision revision of the peer's snapshot
   */
  public void onHeartbeat(final String peer, final long revision) {
    if (revision > store.current().revision()) {
      control.execute(() -> askSoon(peer, revision));
    }
  }

  /**
   * Sends changes that came from the platform to the peers in the zone; call it on the control
   * thread.
   *
   * @param batch the changes
   */
  void push(final ChangeBatch batch) {
    final Changes changes = Changes.of(batch);
    final PeerMessage message = batch.deltas().isEmpty() ? changes : new ChangeDeltas(changes);
    network.peers().stream()
        .filter(PeerView::live)
        .filter(peer -> peer.availabilityZone().equals(availabilityZone))
        .forEach(peer -> network.send(peer.id(), message));
  }

  private CompletableFuture<PeerMessage> answer(final String from, final ChangesRequest request) {
    return CompletableFuture.completedFuture(
        Changes.of(
            request.deltas()
                ? store.changesSince(request.after())
                : store.fullValuesSince(request.after())));
  }

  private CompletableFuture<PeerMessage> receive(final String from, final Changes message) {
    control.execute(
        () -> {
          final ApplyResult result = store.apply(message.batch());
          if (result == ApplyResult.GAP || result == ApplyResult.BASE_MISSING) {
            ask(from, result == ApplyResult.GAP);
          }
        });
    return null;
  }

  private void askSoon(final String peer, final long revision) {
    if (asking || revision <= store.current().revision()) {
      return;
    }
    if (mayBePushed()) {
      asking = true;
      control.schedule(
          () -> {
            asking = false;
            if (revision > store.current().revision()) {
              ask(peer, true);
            }
          },
          PUSH_GRACE_MILLIS,
          TimeUnit.MILLISECONDS);
    } else {
      ask(peer, true);
    }
  }

  private boolean mayBePushed() {
    return store.current().revision() > 0
        && network.peers().stream()
            .anyMatch(
                peer ->
                    peer.live()
                        && peer.platformConnected()
                        && peer.availabilityZone().equals(availabilityZone));
  }

  private void ask(final String peer, final boolean deltas) {
    if (asking) {
      return;
    }
    asking = true;
    network
        .request(
            peer, new ChangesRequest(store.current().revision(), deltas), TIMEOUT, Changes.class)
        .whenCompleteAsync(
            (changes, failure) -> {
              asking = false;
              if (failure == null) {
                if (store.apply(changes.batch()) == ApplyResult.BASE_MISSING) {
                  ask(peer, false);
                }
              } else {
                Logger.debug("config: no changes from {}: {}", peer, failure.getMessage());
              }
            },
            control);
  }
}
