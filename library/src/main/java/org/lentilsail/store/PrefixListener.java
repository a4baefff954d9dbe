package org.lentilsail.store;

import java.util.List;

/** Listener for the items under a prefix, called on the thread of the watcher. */
public interface PrefixListener {
  /**
   * Called with all items, initially and whenever the history was compacted.
   *
   * @param items all items
   */
  void onSnapshot(List<StoredItem> items);

  /**
   * Called for each change.
   *
   * @param change the change
   */
  void onChange(ItemChange change);

  /** Called after the last change of a batch, and after a snapshot. */
  default void onBatchEnd() {}
}
