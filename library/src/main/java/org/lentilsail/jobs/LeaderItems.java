package org.lentilsail.jobs;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.lentilsail.store.StoredItem;
import org.lentilsail.store.Transaction;
import org.lentilsail.store.TransactionResult;

/**
 * Revisions of the items that the holder writes. Each write has the condition that the item is as
 * the holder last knew it and that the term is unchanged: a commit that the store carries out late,
 * after a repetition has been made, then changes nothing. Owned by the control thread.
 */
final class LeaderItems {
  private final Map<String, Long> revisions = new HashMap<>();
  private Term term;

  /** What a commit means for the holder. */
  enum WriteOutcome {
    /** It was made. */
    APPLIED,
    /** An item was different; the revisions are known now and the commit may be repeated. */
    CONFLICT,
    /** Another daemon holds control. */
    SUPERSEDED
  }

  LeaderItems(final Term term) {
    this.term = term;
  }

  void term(final Term present) {
    term = present;
  }

  /** Returns the number of the term, the fencing token of all orders. */
  long token() {
    return term.number();
  }

  /** Takes over an item that an earlier holder has written. */
  void track(final StoredItem item) {
    revisions.put(item.key(), item.revision());
  }

  void forget(final String key) {
    revisions.remove(key);
  }

  /** Starts a commit of the holder. */
  Transaction newTransaction() {
    return Transaction.empty().requireRevision(StoreKeys.TERM, term.revision());
  }

  /** Adds a write of an item to a commit. */
  Transaction write(final Transaction commit, final String key, final byte[] value) {
    return commit.requireRevision(key, revisions.getOrDefault(key, 0L)).write(key, value, 0);
  }

  /** Adds a removal of an item to a commit. */
  Transaction remove(final Transaction commit, final String key) {
    return commit.requireRevision(key, revisions.getOrDefault(key, 0L)).remove(key);
  }

  /** Tells whether an item is in the store, as far as the holder knows. */
  boolean isPresent(final String key) {
    return revisions.containsKey(key);
  }

  /** Takes in the outcome of a commit. */
  WriteOutcome handleResult(final TransactionResult result, final Collection<String> keys) {
    if (result.applied()) {
      keys.forEach(key -> revisions.put(key, result.revision()));
      return WriteOutcome.APPLIED;
    }
    keys.forEach(revisions::remove);
    boolean superseded = false;
    for (final StoredItem item : result.currentItems()) {
      if (item.key().equals(StoreKeys.TERM)) {
        superseded = item.revision() != term.revision();
      } else if (keys.contains(item.key())) {
        track(item);
      }
    }
    return superseded ? WriteOutcome.SUPERSEDED : WriteOutcome.CONFLICT;
  }
}
