package org.lentilsail.store;

import java.util.List;

/**
 * Result of a transaction that the store has processed.
 *
 * @param applied whether all changes were applied; otherwise none was
 * @param revision revision of the changes, 0 if none was applied
 * @param currentItems current items of the preconditions, if a precondition did not hold
 */
public record TransactionResult(boolean applied, long revision, List<StoredItem> currentItems) {

  /** Copies the list to make the result immutable. */
  public TransactionResult {
    currentItems = List.copyOf(currentItems);
  }
}
