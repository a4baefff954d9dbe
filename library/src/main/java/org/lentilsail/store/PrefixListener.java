package org.lentilsail.store;

import java.util.List;

/** Hears of the items under a prefix, on the thread of the follower. */
public interface PrefixListener {
  /**
   * Takes in all items, at first and whenever part of the history was lost.
   *
   * @param items all items
   */
  void onSnapshot(List<StoredItem> items);

  /**
   * Takes in one change.
   *
   * @param change the change
   */
  void onChange(ItemChange change);

  /** Hears that all changes of an answer have been passed on. */
  default void onBatchEnd() {}
}
