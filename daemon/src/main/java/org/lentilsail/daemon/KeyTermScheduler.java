package org.lentilsail.daemon;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lentilsail.config.KeyTerm;
import org.lentilsail.idempotency.KeyTable;
import org.lentilsail.idempotency.KeyTermManager;
import org.lentilsail.peer.PeerView;

/** Keeps the terms of the idempotency keys that this daemon owns. */
final class KeyTermScheduler {
  /** Time in s between two looks at the terms. */
  private static final int TICK_SECONDS = 1;

  /** The parts on which this one rests. */
  private final SharedComponents shared;

  /** Keeps the terms. */
  private final KeyTermManager keeper;

  KeyTermScheduler(final SharedComponents shared, final KeyTable table) {
    this.shared = shared;
    keeper =
        new KeyTermManager(
            shared.platform(),
            table,
            shared.time(),
            TimeUnit.MINUTES.toMillis(shared.settings().keyTermMinutes()),
            shared.settings().id(),
            shared.network().incarnation());
  }

  void start() {
    shared
        .threads()
        .control()
        .scheduleWithFixedDelay(this::tick, TICK_SECONDS, TICK_SECONDS, TimeUnit.SECONDS);
  }

  CompletableFuture<Void> stop() {
    return keeper.stop();
  }

  private void tick() {
    final long live = shared.network().peers().stream().filter(PeerView::live).count();
    keeper.tick((int) live + 1, this::isProvedDead);
  }

  /**
   * Tells whether the owner of a term is certainly dead. The proof is a later incarnation of the
   * same daemon, since only one process can listen on its peer address. The platform's list is no
   * proof: it lags, so it may report a daemon gone that has started again meanwhile.
   */
  private boolean isProvedDead(final KeyTerm term) {
    final boolean result;
    if (term.daemon().equals(shared.settings().id())) {
      result = term.incarnation() < shared.network().incarnation();
    } else {
      result =
          shared.network().peers().stream()
              .anyMatch(
                  peer ->
                      peer.id().equals(term.daemon()) && peer.incarnation() > term.incarnation());
    }
    return result;
  }
}
