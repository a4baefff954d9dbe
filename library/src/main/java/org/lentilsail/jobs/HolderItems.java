package org.lentilsail.jobs;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.lentilsail.store.Commit;
import org.lentilsail.store.CommitResult;
import org.lentilsail.store.StoredItem;

/**
 * Revisions of the items that the holder writes. Each write has the condition that the item is as
 * the holder last knew it and that the term is unchanged: a commit that the store carries out late,
 * after a repetition has been made, then changes nothing. Owned by the control thread.
 */
final class HolderItems {
  private final Map<String, Long> revisions = new HashMap<>();
  private Term term;

  /** What a commit means for the holder. */
  enum Verdict {
    /** It was made. */
    MADE,
    /** An item was different; the revisions are known now and the commit may be repeated. */
    REPEAT,
    /** Another daemon holds control. */
    SUPERSEDED
  }

  HolderItems(final Term term) {
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
  void known(final StoredItem item) {
    revisions.put(item.key(), item.revision());
  }

  void forget(final String key) {
    revisions.remove(key);
  }

  /** Starts a commit of the holder. */
  Commit begin() {
    return Commit.empty().when(StoreKeys.TERM, term.revision());
  }

  /** Adds a write of an item to a commit. */
  Commit write(final Commit commit, final String key, final byte[] value) {
    return commit.when(key, revisions.getOrDefault(key, 0L)).write(key, value, 0);
  }

  /** Adds a removal of an item to a commit. */
  Commit remove(final Commit commit, final String key) {
    return commit.when(key, revisions.getOrDefault(key, 0L)).remove(key);
  }

  /** Tells whether an item is in the store, as far as the holder knows. */
  boolean isPresent(final String key) {
    return revisions.containsKey(key);
  }

  /** Takes in the outcome of a commit. */
  Verdict judge(final CommitResult result, final Collection<String> keys) {
    if (result.applied()) {
      keys.forEach(key -> revisions.put(key, result.revision()));
      return Verdict.MADE;
    }
    keys.forEach(revisions::remove);
    boolean superseded = false;
    for (final StoredItem item : result.present()) {
      if (item.key().equals(StoreKeys.TERM)) {
        superseded = item.revision() != term.revision();
      } else if (keys.contains(item.key())) {
        known(item);
      }
    }
    return superseded ? Verdict.SUPERSEDED : Verdict.REPEAT;
  }
}
