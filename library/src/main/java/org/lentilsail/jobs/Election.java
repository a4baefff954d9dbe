package org.lentilsail.jobs;

import static org.lentilsail.concurrent.Callbacks.logged;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.store.GrantedLease;
import org.lentilsail.store.ItemChange;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.PrefixListener;
import org.lentilsail.store.PrefixWatcher;
import org.lentilsail.store.StoreRetries;
import org.lentilsail.store.StoredItem;
import org.lentilsail.store.Transaction;
import org.lentilsail.store.TransactionResult;

/**
 * Elects the leader through the store. One item is bound to the lease of the leader, another one
 * counts the terms. Confined to the control thread.
 */
final class Election implements PrefixListener {
  /** Delay in ms before a failed claim is retried. */
  private static final long CLAIM_RETRY_DELAY_MILLIS = 120;

  /** Minimum time between two watch requests. */
  private static final Duration WATCH_INTERVAL = Duration.ofMillis(5);

  private final KeyValueStore store;
  private final String daemon;
  private final ScheduledExecutorService executor;
  private final TimeSource time;
  private final DecisionLog log;
  private final LeaderLease lease;
  private final TermListener listener;
  private final StoreRetries retries;
  private final CapacityPreference capacity;
  private final TakeoverOffers offers;
  private final PrefixWatcher watcher;
  private final LeaderPresence leader = new LeaderPresence();
  private final ClaimDelay claimDelay;
  private boolean loaded;
  private boolean claiming;
  private boolean resigned;
  private long knownTerm;
  private long termRevision;
  private Term ownTerm;

  /** The term of a claim whose outcome is not known yet, null for none. */
  private TermDocument claimInFlight;

  /** Whether a transaction has found a newer term, which may be that of the claim in flight. */
  private boolean doubted;

  Election(
      final KeyValueStore store,
      final String daemon,
      final ScheduledExecutorService executor,
      final TimeSource time,
      final DecisionLog log,
      final Duration timeToLive,
      final CapacityPreference capacity,
      final TermListener listener,
      final StoreRetries retries) {
    this.store = store;
    this.retries = retries;
    this.capacity = capacity;
    this.daemon = daemon;
    this.executor = executor;
    this.time = time;
    this.log = log;
    this.listener = listener;
    this.claimDelay = new ClaimDelay(time, capacity);
    this.offers = new TakeoverOffers(store, daemon, executor, log, capacity, this::leadsIn);
    this.lease =
        new LeaderLease(
            store,
            executor,
            time,
            log,
            timeToLive,
            this::leaseExpired,
            listener::leadershipConfirmed,
            retries);
    this.watcher =
        new PrefixWatcher(store, StoreKeys.ELECTION, this, executor, time, WATCH_INTERVAL, retries);
  }

  void start() {
    watcher.start();
  }

  /** Resigns leadership, so that another daemon can claim it immediately. */
  void resign() {
    resigned = true;
    if (ownTerm != null) {
      log.log("control-resigned", "term", ownTerm.number());
      ownTerm = null;
      listener.leadershipLost();
    }
    lease.release();
  }

  /** Returns whether the store has not confirmed a release; may be called from any thread. */
  boolean isReleasing() {
    return lease.isReleasing();
  }

  boolean isLeader() {
    return ownTerm != null && lease.isValid();
  }

  /** Returns whether the store has not confirmed the leadership of this daemon for too long. */
  boolean isRenewalOverdue() {
    return lease.isRenewalOverdue();
  }

  /** Returns the time in ns for which the store has not confirmed the leadership of this daemon. */
  long unconfirmedNanos() {
    return lease.unconfirmedNanos();
  }

  /** Reports that a worker has seen a newer token; the lease is suspect until renewed. */
  void suspectLease() {
    lease.suspect();
  }

  /**
   * Reports that a transaction has found a newer term. It may be the one that this daemon claims
   * itself, of which the answer has not arrived; then the outcome of the claim decides.
   */
  void superseded() {
    if (claimInFlight != null) {
      doubted = true;
    } else {
      loseLeadership("a transaction found a newer term");
    }
  }

  @Override
  public void onSnapshot(final List<StoredItem> items) {
    loaded = true;
    leader.forget();
    items.forEach(this::applyItem);
    if (!leader.isPresent()) {
      leader.gone(items.stream().mapToLong(StoredItem::revision).max().orElse(0));
    }
  }

  @Override
  public void onChange(final ItemChange change) {
    if (change.item().isPresent()) {
      applyItem(change.item().get());
    } else if (change.key().equals(StoreKeys.LEADER)) {
      leader.gone(change.revision());
    }
  }

  @Override
  public void onBatchEnd() {
    if (loaded && !leader.isPresent() && !claiming && !resigned) {
      final long delayMillis = ownTerm != null ? 0 : claimDelay.millis();
      claiming = true;
      executor.schedule(this::claim, delayMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void applyItem(final StoredItem item) {
    if (item.key().equals(StoreKeys.LEADER)) {
      leader.shown(item.revision());
    } else if (item.key().equals(StoreKeys.TERM)) {
      handleTerm(TermDocument.read(item), item.revision());
    } else if (item.key().equals(StoreKeys.OFFER)) {
      Documents.<OfferDocument>read(Documents.OFFER, item).ifPresent(this::handleOffer);
    }
  }

  /** Hands over to a daemon with more CPU; claims leadership again if that one does not. */
  private void handleOffer(final OfferDocument offer) {
    capacity.observe(offer.processor());
    if (ownTerm != null
        && offer.term() == ownTerm.number()
        && capacity.hasLessCpuThan(offer.processor())) {
      log.log("control-handed-over", "term", ownTerm.number(), "to", offer.daemon());
      ownTerm = null;
      listener.leadershipLost();
      lease.release();
    }
  }

  /** Returns whether a daemon still leads in a term, so that an offer to it makes sense. */
  private boolean leadsIn(final long term) {
    return knownTerm == term && leader.isPresent() && !resigned;
  }

  private void handleTerm(final TermDocument document, final long revision) {
    if (document.term() < knownTerm) {
      return;
    }
    if (document.term() > knownTerm) {
      offers.schedule(document, revision);
    }
    knownTerm = document.term();
    termRevision = revision;
    capacity.observe(document.processor());
    if (ownTerm != null && document.term() > ownTerm.number() && !document.equals(claimInFlight)) {
      loseLeadership("daemon " + document.holder() + " has claimed term " + document.term());
    }
  }

  private void loseLeadership(final String reason) {
    if (ownTerm != null) {
      log.log("control-lost", "term", ownTerm.number(), "reason", reason);
      ownTerm = null;
      doubted = false;
      lease.forget();
      listener.leadershipLost();
    }
  }

  private void leaseExpired() {
    leader.forget();
    onBatchEnd();
  }

  private void claim() {
    if (resigned || leader.isPresent()) {
      claiming = false;
      return;
    }
    final long sentAt = time.nanos();
    lease
        .grant()
        .whenCompleteAsync(
            logged(
                (granted, failure) -> {
                  if (failure != null) {
                    claimFailed("the lease was not granted: " + failure.getMessage());
                  } else {
                    commitClaim(granted, sentAt);
                  }
                }),
            executor);
  }

  private void commitClaim(final GrantedLease granted, final long sentAt) {
    final long termNumber = knownTerm + 1;
    final String claimId = daemon + '/' + granted.id();
    final TermDocument document = new TermDocument(termNumber, daemon, capacity.ownCpuMillis());
    claimInFlight = document;
    final Transaction transaction =
        Transaction.empty()
            .requireRevision(StoreKeys.LEADER, 0)
            .requireRevision(StoreKeys.TERM, termRevision)
            .write(StoreKeys.LEADER, claimId.getBytes(StandardCharsets.UTF_8), granted.id())
            .write(StoreKeys.TERM, Documents.write(document), 0);
    store
        .commit(transaction)
        .whenCompleteAsync(
            logged(
                (result, failure) -> {
                  if (failure != null) {
                    readBack(granted, sentAt, document, claimId);
                  } else {
                    handleClaimResult(result, granted, sentAt, termNumber);
                  }
                }),
            executor);
  }

  private void handleClaimResult(
      final TransactionResult result,
      final GrantedLease granted,
      final long sentAt,
      final long termNumber) {
    if (result.applied()) {
      claimSucceeded(granted, sentAt, termNumber, result.revision());
      return;
    }
    lease.discard(granted);
    claimInFlight = null;
    result.currentItems().forEach(this::applyItem);
    claimFailed("another daemon has claimed the term");
  }

  private void readBack(
      final GrantedLease granted,
      final long sentAt,
      final TermDocument document,
      final String claimId) {
    store
        .get(StoreKeys.LEADER)
        .thenCombine(store.get(StoreKeys.TERM), ClaimItems::new)
        .whenCompleteAsync(
            logged(
                (claimed, failure) -> {
                  if (failure == null && claimed.areOf(claimId, document)) {
                    claimSucceeded(
                        granted, sentAt, document.term(), claimed.term().get().revision());
                  } else {
                    lease.discard(granted);
                    claimFailed("the claim was not confirmed");
                  }
                }),
            executor);
  }

  private void claimSucceeded(
      final GrantedLease granted, final long sentAt, final long termNumber, final long revision) {
    claiming = false;
    claimInFlight = null;
    doubted = false;
    if (resigned) {
      lease.discard(granted);
      return;
    }
    final boolean uninterrupted = ownTerm != null && ownTerm.number() == termNumber - 1;
    ownTerm = new Term(termNumber, revision);
    knownTerm = termNumber;
    termRevision = revision;
    leader.claimed();
    lease.hold(granted, sentAt);
    log.log("control-claimed", "term", termNumber, "uninterrupted", uninterrupted);
    listener.elected(ownTerm, uninterrupted);
  }

  private void claimFailed(final String reason) {
    log.log("control-claim-failed", "term", knownTerm + 1, "reason", reason);
    claimInFlight = null;
    if (doubted) {
      loseLeadership("a transaction found a newer term");
    }
    retries.schedule(
        () -> {
          claiming = false;
          onBatchEnd();
        },
        CLAIM_RETRY_DELAY_MILLIS);
  }
}
