package org.lentilsail.store;

import java.util.List;

/**
 * Outcome of a commit that the store has judged.
 *
 * @param applied whether all changes were made; otherwise none was
 * @param revision revision of the changes, 0 when none was made
 * @param present items of the conditions as they are, when a condition did not hold
 */
public record TransactionResult(boolean applied, long revision, List<StoredItem> currentItems) {

  /** Copies the list, so that the result cannot change. */
  public TransactionResult {
    currentItems = List.copyOf(currentItems);
  }
}
