package org.lentilsail.daemon;

import static org.lentilsail.concurrent.Callbacks.loggedTask;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lentilsail.config.KeyTerm;
import org.lentilsail.idempotency.KeyTable;
import org.lentilsail.idempotency.KeyTermManager;
import org.lentilsail.peer.PeerView;

/** Periodically acquires, renews and releases this daemon's ownership terms of key ranges. */
final class KeyTermScheduler {
  /** Interval in s between two runs. */
  private static final int TICK_SECONDS = 1;

  private final SharedComponents shared;

  private final KeyTermManager termManager;

  KeyTermScheduler(final SharedComponents shared, final KeyTable table) {
    this.shared = shared;
    termManager =
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
        .scheduleWithFixedDelay(
            loggedTask("key terms", this::tick), TICK_SECONDS, TICK_SECONDS, TimeUnit.SECONDS);
  }

  CompletableFuture<Void> stop() {
    return termManager.stop();
  }

  private void tick() {
    final long live = shared.network().peers().stream().filter(PeerView::live).count();
    termManager.tick((int) live + 1, this::isConfirmedDead);
  }

  /**
   * Returns whether the process that owns a term is certainly dead. The evidence is a later
   * incarnation of the same daemon, since only one process can listen on its peer address. The
   * platform's list is not sufficient evidence: it lags, so it may report a daemon as gone that has
   * restarted in the meantime.
   */
  private boolean isConfirmedDead(final KeyTerm term) {
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
