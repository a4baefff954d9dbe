package org.lentilsail.jobs;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lentilsail.store.StoredItem;

/**
 * Ids that callers have cancelled and of which there is no job. Their cancellations stay in the
 * store until no submission of them can still be on its way. Confined to the control thread.
 */
final class CancelledIds {
  private final Map<String, Cancellation> cancellations = new LinkedHashMap<>();

  /**
   * A cancellation.
   *
   * @param revision revision of its item in the store
   * @param knownMillis wall clock time at which this leader has read it, in ms since the Unix epoch
   */
  private record Cancellation(long revision, long knownMillis) {}

  void add(final String id, final StoredItem item, final long wallMillis) {
    cancellations.putIfAbsent(id, new Cancellation(item.revision(), wallMillis));
  }

  /** Removes an id; returns whether it was cancelled. */
  boolean remove(final String id) {
    return cancellations.remove(id) != null;
  }

  /** Drops the ids whose cancellations are no longer in the store. */
  void retain(final Set<String> ids) {
    cancellations.keySet().retainAll(ids);
  }

  /** Returns the revision of a cancellation in the store. */
  long revision(final String id) {
    return cancellations.get(id).revision();
  }

  /** Puts off the removal of an id whose items have changed. */
  void postpone(final String id, final long wallMillis) {
    final Cancellation changed = cancellations.remove(id);
    if (changed != null) {
      cancellations.put(id, new Cancellation(changed.revision(), wallMillis));
    }
  }

  /** Returns ids that were cancelled before a time in ms since the Unix epoch. */
  List<String> before(final long wallMillis, final int limit) {
    return cancellations.entrySet().stream()
        .filter(entry -> entry.getValue().knownMillis() < wallMillis)
        .limit(limit)
        .map(Map.Entry::getKey)
        .toList();
  }
}
