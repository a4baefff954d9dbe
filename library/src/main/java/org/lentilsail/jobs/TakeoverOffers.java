package org.lentilsail.jobs;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.Transaction;

/**
 * Offers to take over from a leader whose VM has less CPU than that of this daemon. Confined to the
 * control thread.
 */
final class TakeoverOffers {
  /** Delay in ms between a claim and the offer to the daemon that made it. */
  private static final long OFFER_DELAY_MILLIS = 1_500;

  private final KeyValueStore store;
  private final String daemon;
  private final ScheduledExecutorService executor;
  private final DecisionLog log;
  private final CapacityPreference capacity;
  private final LongPredicate leadsIn;

  TakeoverOffers(
      final KeyValueStore store,
      final String daemon,
      final ScheduledExecutorService executor,
      final DecisionLog log,
      final CapacityPreference capacity,
      final LongPredicate leadsIn) {
    this.store = store;
    this.daemon = daemon;
    this.executor = executor;
    this.log = log;
    this.capacity = capacity;
    this.leadsIn = leadsIn;
  }

  /**
   * Schedules an offer if the leader has less CPU than this daemon.
   *
   * @param document the term of the leader
   * @param revision revision of the item of that term
   */
  void schedule(final TermDocument document, final long revision) {
    if (capacity.hasMoreCpuThan(document.processor())) {
      executor.schedule(() -> send(document, revision), OFFER_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void send(final TermDocument document, final long revision) {
    if (!leadsIn.test(document.term())) {
      return;
    }
    final OfferDocument offer = new OfferDocument(document.term(), daemon, capacity.ownCpuMillis());
    store
        .commit(
            Transaction.empty()
                .requireRevision(StoreKeys.TERM, revision)
                .write(StoreKeys.OFFER, Documents.write(offer), 0))
        .whenComplete(
            (result, failure) ->
                log.log(
                    "control-offered",
                    "term",
                    document.term(),
                    "holder",
                    document.holder(),
                    "outcome",
                    failure == null ? "applied=" + result.applied() : failure.getMessage()));
  }
}
