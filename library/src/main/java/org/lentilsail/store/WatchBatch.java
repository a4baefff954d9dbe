package org.lentilsail.store;

import java.util.List;

/**
 * Changes since a revision.
 *
 * @param lost whether the store has dropped part of that history, so that the items must be read
 * @param changes the changes in their order, empty when lost or when none came in time
 * @param revision revision from which the next watch goes on
 */
public record WatchBatch(boolean historyCompacted, List<ItemChange> changes, long revision) {

  /** Copies the list, so that the batch cannot change. */
  public WatchBatch {
    changes = List.copyOf(changes);
  }
}
