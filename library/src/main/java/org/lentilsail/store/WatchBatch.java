package org.lentilsail.store;

import java.util.List;

/**
 * Changes since a revision.
 *
 * @param historyCompacted whether the store has compacted part of this history, so that all items
 *     must be read again
 * @param changes the changes in order, empty if the history was compacted or no change occurred in
 *     time
 * @param revision revision from which the next watch continues
 */
public record WatchBatch(boolean historyCompacted, List<ItemChange> changes, long revision) {

  /** Copies the list to make the batch immutable. */
  public WatchBatch {
    changes = List.copyOf(changes);
  }
}
