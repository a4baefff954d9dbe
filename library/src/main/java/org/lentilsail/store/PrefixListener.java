package org.lentilsail.store;

import java.util.List;
import org.lentilsail.model.time.ClockReading;

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

  /**
   * Called after each response has been applied, also one without changes. The items are those that
   * the store held at some moment after the call was sent.
   *
   * @param sentAt when the call was sent; its response may have been delayed
   */
  default void onResponseApplied(final ClockReading sentAt) {}

  /**
   * Called after each response has been applied. No later notification shows the items as they were
   * before a revision.
   *
   * @param revision all changes up to this revision have been delivered
   */
  default void onCaughtUp(final long revision) {}
}
