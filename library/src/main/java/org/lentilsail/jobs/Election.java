package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.store.GrantedLease;
import org.lentilsail.store.ItemChange;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.PrefixListener;
import org.lentilsail.store.PrefixWatcher;
import org.lentilsail.store.StoredItem;
import org.lentilsail.store.Transaction;
import org.lentilsail.store.TransactionResult;

/**
 * Elects the holder of control through the store: an item that goes with the lease of the holder,
 * and an item that counts the terms. Owned by the control thread.
 */
final class Election implements PrefixListener {
  /** Longest random pause in ms before a claim, so that daemons rarely collide. */
  private static final int CLAIM_SPREAD_MILLIS = 12;

  /**
   * Pause in ms for each second that the daemon has run. A rolling restart stops the daemons that
   * have run longest next, so a daemon that has just started should hold control.
   */
  private static final double CLAIM_MILLIS_PER_SECOND = 1.5;

  /** Longest pause in ms for the time that the daemon has run. */
  private static final long CLAIM_AGE_MILLIS = 45;

  /** Pause in ms before a failed claim is repeated. */
  private static final long CLAIM_RETRY_MILLIS = 120;

  /** Time in ms for which a weaker daemon holds control before a stronger one offers to. */
  private static final long OFFER_MILLIS = 1_500;

  /** Least time between two watches. */
  private static final Duration WATCH_INTERVAL = Duration.ofMillis(5);

  private final KeyValueStore store;
  private final String daemon;
  private final ScheduledExecutorService executor;
  private final TimeSource time;
  private final DecisionLog log;
  private final LeaderLease lease;
  private final TermListener listener;
  private final CapacityPreference strength;
  private final PrefixWatcher follower;
  private final long createdAt;
  private boolean loaded;
  private boolean holderPresent;
  private boolean claiming;
  private boolean resigned;
  private long knownTerm;
  private long termRevision;
  private Term own;

  Election(
      final KeyValueStore store,
      final String daemon,
      final ScheduledExecutorService executor,
      final TimeSource time,
      final DecisionLog log,
      final Duration timeToLive,
      final CapacityPreference strength,
      final TermListener listener) {
    this.store = store;
    this.strength = strength;
    this.daemon = daemon;
    this.executor = executor;
    this.time = time;
    this.log = log;
    this.listener = listener;
    this.createdAt = time.nanos();
    this.lease = new LeaderLease(store, executor, time, log, timeToLive, this::leaseEnded);
    this.follower =
        new PrefixWatcher(store, StoreKeys.ELECTION, this, executor, time, WATCH_INTERVAL);
  }

  void start() {
    follower.start();
  }

  /** Gives control up, so that another daemon can claim it at once. */
  void resign() {
    resigned = true;
    if (own != null) {
      log.log("control-resigned", "term", own.number());
      own = null;
      listener.leadershipLost();
    }
    lease.release();
  }

  boolean isLeader() {
    return own != null && lease.isValid();
  }

  /** Reports that a worker has seen a newer token; trust ends until the lease is renewed. */
  void suspectLease() {
    lease.suspect();
  }

  /** Reports that a commit found a newer term. */
  void superseded() {
    depose("a commit found a newer term");
  }

  @Override
  public void onSnapshot(final List<StoredItem> items) {
    loaded = true;
    holderPresent = false;
    for (final StoredItem item : items) {
      take(item.key(), Optional.of(item));
    }
  }

  @Override
  public void onChange(final ItemChange change) {
    take(change.key(), change.item());
  }

  @Override
  public void onBatchEnd() {
    if (loaded && !holderPresent && !claiming && !resigned) {
      final long pause = own != null ? 0 : claimPause();
      claiming = true;
      executor.schedule(this::claim, pause, TimeUnit.MILLISECONDS);
    }
  }

  private long claimPause() {
    final double seconds = (time.nanos() - createdAt) / 1e9;
    return strength.claimPauseMillis()
        + ThreadLocalRandom.current().nextInt(CLAIM_SPREAD_MILLIS)
        + Math.min((long) (seconds * CLAIM_MILLIS_PER_SECOND), CLAIM_AGE_MILLIS);
  }

  private void take(final String key, final Optional<StoredItem> item) {
    if (key.equals(StoreKeys.LEADER)) {
      holderPresent = item.isPresent();
    } else if (key.equals(StoreKeys.TERM) && item.isPresent()) {
      Documents.<TermDocument>read(Documents.TERM, item.get())
          .ifPresent(document -> term(document, item.get().revision()));
    } else if (key.equals(StoreKeys.OFFER) && item.isPresent()) {
      Documents.<OfferDocument>read(Documents.OFFER, item.get()).ifPresent(this::offered);
    }
  }

  /** Leaves control to a stronger daemon; this one claims it again when the other one does not. */
  private void offered(final OfferDocument offer) {
    strength.observe(offer.processor());
    if (own != null && offer.term() == own.number() && strength.hasLessCpuThan(offer.processor())) {
      log.log("control-handed-over", "term", own.number(), "to", offer.daemon());
      own = null;
      listener.leadershipLost();
      lease.release();
    }
  }

  /** Offers to take control over when a weaker daemon has held it for some time. */
  private void considerOffer(final TermDocument document) {
    if (strength.hasMoreCpuThan(document.processor())) {
      executor.schedule(() -> offer(document), OFFER_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void offer(final TermDocument document) {
    if (knownTerm != document.term() || !holderPresent || resigned) {
      return;
    }
    final OfferDocument offer = new OfferDocument(document.term(), daemon, strength.ownCpuMillis());
    store
        .commit(
            Transaction.empty()
                .requireRevision(StoreKeys.TERM, termRevision)
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

  private void term(final TermDocument document, final long revision) {
    if (document.term() < knownTerm) {
      return;
    }
    if (document.term() > knownTerm) {
      considerOffer(document);
    }
    knownTerm = document.term();
    termRevision = revision;
    strength.observe(document.processor());
    if (own != null && document.term() > own.number()) {
      depose("daemon " + document.holder() + " has claimed term " + document.term());
    }
  }

  private void depose(final String reason) {
    if (own != null) {
      log.log("control-lost", "term", own.number(), "reason", reason);
      own = null;
      lease.forget();
      listener.leadershipLost();
    }
  }

  private void leaseEnded() {
    holderPresent = false;
    onBatchEnd();
  }

  private void claim() {
    if (resigned || holderPresent) {
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
                    claimFailed("no lease: " + failure.getMessage());
                  } else {
                    commitClaim(granted, sentAt);
                  }
                }),
            executor);
  }

  private void commitClaim(final GrantedLease granted, final long sentAt) {
    final long number = knownTerm + 1;
    final String mark = daemon + '/' + granted.id();
    final TermDocument document = new TermDocument(number, daemon, strength.ownCpuMillis());
    final Transaction commit =
        Transaction.empty()
            .requireRevision(StoreKeys.LEADER, 0)
            .requireRevision(StoreKeys.TERM, termRevision)
            .write(StoreKeys.LEADER, mark.getBytes(StandardCharsets.UTF_8), granted.id())
            .write(StoreKeys.TERM, Documents.write(document), 0);
    store
        .commit(commit)
        .whenCompleteAsync(
            logged(
                (result, failure) -> {
                  if (failure != null) {
                    readBack(granted, sentAt, number, mark);
                  } else {
                    judge(result, granted, sentAt, number);
                  }
                }),
            executor);
  }

  private void judge(
      final TransactionResult result,
      final GrantedLease granted,
      final long sentAt,
      final long number) {
    if (result.applied()) {
      won(granted, sentAt, number, result.revision());
      return;
    }
    lease.discard(granted);
    for (final StoredItem item : result.currentItems()) {
      take(item.key(), Optional.of(item));
    }
    claimFailed("another daemon was faster");
  }

  private void readBack(
      final GrantedLease granted, final long sentAt, final long number, final String mark) {
    store
        .get(StoreKeys.LEADER)
        .thenCombine(store.get(StoreKeys.TERM), Claimed::new)
        .whenCompleteAsync(
            logged(
                (claimed, failure) -> {
                  if (failure == null && claimed.isMine(mark)) {
                    won(granted, sentAt, number, claimed.term().get().revision());
                  } else {
                    lease.discard(granted);
                    claimFailed("the claim was not answered");
                  }
                }),
            executor);
  }

  /**
   * The items of a claim as they were read back.
   *
   * @param holder the item of the holder
   * @param term the item of the term
   */
  private record Claimed(Optional<StoredItem> holder, Optional<StoredItem> term) {
    boolean isMine(final String mark) {
      return term.isPresent()
          && holder.isPresent()
          && new String(holder.get().value(), StandardCharsets.UTF_8).equals(mark);
    }
  }

  private void won(
      final GrantedLease granted, final long sentAt, final long number, final long revision) {
    claiming = false;
    if (resigned) {
      lease.discard(granted);
      return;
    }
    final boolean uninterrupted = own != null && own.number() == number - 1;
    own = new Term(number, revision);
    knownTerm = number;
    termRevision = revision;
    holderPresent = true;
    lease.hold(granted, sentAt);
    log.log("control-claimed", "term", number, "uninterrupted", uninterrupted);
    listener.elected(own, uninterrupted);
  }

  private void claimFailed(final String reason) {
    log.log("control-claim-failed", "term", knownTerm + 1, "reason", reason);
    executor.schedule(
        () -> {
          claiming = false;
          onBatchEnd();
        },
        CLAIM_RETRY_MILLIS,
        TimeUnit.MILLISECONDS);
  }
}
