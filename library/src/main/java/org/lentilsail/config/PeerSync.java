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
 * Synchronizes the configuration with the peers. The daemon that watches the platform pushes
 * changes within its availability zone; a daemon that receives a heartbeat with a higher revision
 * requests the changes that it is missing.
 */
public final class PeerSync {
  /** Timeout of a request for changes. */
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  /**
   * Time in ms that a daemon waits for the push of the watcher in its own zone before it requests
   * changes from another daemon, so that changes are not sent twice.
   */
  private static final long PUSH_GRACE_MILLIS = 100;

  private final ConfigurationStore store;

  private final PeerNetwork network;

  private final ScheduledExecutorService control;

  private final String availabilityZone;

  /** Whether a request is in progress or scheduled. */
  private boolean requesting;

  /**
   * Registers the message handlers with the network; call it before the network starts.
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
   * Handles a peer's heartbeat; can be called from any thread.
   *
   * @param peer id of the peer
   * @param revision revision of the peer's snapshot
   */
  public void onHeartbeat(final String peer, final long revision) {
    if (revision > store.current().revision()) {
      control.execute(() -> requestSoon(peer, revision));
    }
  }

  /**
   * Sends changes received from the platform to the peers in the zone; call it on the control
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
            requestChanges(from, result == ApplyResult.GAP);
          }
        });
    return null;
  }

  private void requestSoon(final String peer, final long revision) {
    if (requesting || revision <= store.current().revision()) {
      return;
    }
    if (isPushExpected()) {
      requesting = true;
      control.schedule(
          () -> {
            requesting = false;
            if (revision > store.current().revision()) {
              requestChanges(peer, true);
            }
          },
          PUSH_GRACE_MILLIS,
          TimeUnit.MILLISECONDS);
    } else {
      requestChanges(peer, true);
    }
  }

  private boolean isPushExpected() {
    return store.current().revision() > 0
        && network.peers().stream()
            .anyMatch(
                peer ->
                    peer.live()
                        && peer.platformConnected()
                        && peer.availabilityZone().equals(availabilityZone));
  }

  private void requestChanges(final String peer, final boolean deltas) {
    if (requesting) {
      return;
    }
    requesting = true;
    network
        .request(
            peer, new ChangesRequest(store.current().revision(), deltas), TIMEOUT, Changes.class)
        .whenCompleteAsync(
            (changes, failure) -> {
              requesting = false;
              if (failure == null) {
                if (store.apply(changes.batch()) == ApplyResult.BASE_MISSING) {
                  requestChanges(peer, false);
                }
              } else {
                Logger.debug(
                    "config: request for changes from {} failed: {}", peer, failure.getMessage());
              }
            },
            control);
  }
}
