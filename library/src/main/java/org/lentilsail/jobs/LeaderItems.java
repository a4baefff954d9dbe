package org.lentilsail.jobs;

import static org.lentilsail.concurrent.Callbacks.logged;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.lentilsail.store.StoredItem;
import org.lentilsail.store.Transaction;
import org.lentilsail.store.TransactionResult;

/**
 * Tracks the revisions of the items that the leader writes. Every write requires the last known
 * revision of its item and an unchanged term, so a transaction that the store executes late, after
 * a retry has been applied, has no effect. Confined to the control thread.
 */
final class LeaderItems {
  private final Map<String, Long> revisions = new HashMap<>();
  private Term term;
  private long appliedRevision;

  /** Result of a transaction of the leader. */
  enum WriteOutcome {
    /** The transaction was applied. */
    APPLIED,
    /**
     * An item had another revision. The current revisions are known now and the write may be
     * retried.
     */
    CONFLICT,
    /** Another daemon is the leader. */
    SUPERSEDED,
    /** The store did not confirm the transaction; it may have been applied or be applied later. */
    UNCONFIRMED
  }

  LeaderItems(final Term term) {
    this.term = term;
  }

  void updateTerm(final Term current) {
    term = current;
  }

  /** Returns the term number, on which the fencing tokens of all commands are based. */
  long token() {
    return term.number();
  }

  /** Tracks the revision of an item that is in the store. */
  void track(final StoredItem item) {
    revisions.put(item.key(), item.revision());
  }

  void forget(final String key) {
    revisions.remove(key);
  }

  /** Returns an empty transaction that requires the current term. */
  Transaction newTransaction() {
    return Transaction.empty().requireRevision(StoreKeys.TERM, term.revision());
  }

  /** Adds a write of an item to a transaction. */
  Transaction write(final Transaction transaction, final String key, final byte[] value) {
    return transaction.requireRevision(key, revisions.getOrDefault(key, 0L)).write(key, value, 0);
  }

  /** Adds a removal of an item to a transaction. */
  Transaction remove(final Transaction transaction, final String key) {
    return transaction.requireRevision(key, revisions.getOrDefault(key, 0L)).remove(key);
  }

  /** Returns the revision of the last transaction that was applied. */
  long appliedRevision() {
    return appliedRevision;
  }

  /**
   * Commits a transaction and updates the tracked revisions.
   *
   * @param context the store and the control thread
   * @param transaction a transaction made by this object
   * @param keys keys of the items whose revisions it requires
   * @param callback receives the outcome and, unless it is APPLIED, its reason on the control
   *     thread
   */
  void commit(
      final ControlContext context,
      final Transaction transaction,
      final Collection<String> keys,
      final BiConsumer<WriteOutcome, String> callback) {
    context
        .store()
        .commit(transaction)
        .whenCompleteAsync(
            logged(
                (result, failure) -> {
                  if (failure == null) {
                    final WriteOutcome outcome = handleResult(result, keys);
                    callback.accept(outcome, reason(outcome));
                  } else {
                    callback.accept(WriteOutcome.UNCONFIRMED, String.valueOf(failure.getMessage()));
                  }
                }),
            context.executor());
  }

  private static String reason(final WriteOutcome outcome) {
    return switch (outcome) {
      case APPLIED -> "";
      case SUPERSEDED -> "another daemon is the leader";
      default -> "the revision of an item has changed";
    };
  }

  /** Updates the tracked revisions after a transaction and returns its outcome. */
  WriteOutcome handleResult(final TransactionResult result, final Collection<String> keys) {
    if (result.applied()) {
      appliedRevision = result.revision();
      keys.forEach(key -> revisions.put(key, result.revision()));
      return WriteOutcome.APPLIED;
    }
    keys.forEach(revisions::remove);
    boolean superseded = false;
    for (final StoredItem item : result.currentItems()) {
      if (item.key().equals(StoreKeys.TERM)) {
        superseded = item.revision() > term.revision();
      } else if (keys.contains(item.key())) {
        track(item);
      }
    }
    return superseded ? WriteOutcome.SUPERSEDED : WriteOutcome.CONFLICT;
  }
}
