package org.lentilsail.jobs;

import java.util.HashMap;
import java.util.Map;
import org.lentilsail.store.StoredItem;

/**
 * Ids whose submissions and cancellations this leader has removed from the store. A list or a batch
 * of changes that the store read before the removal may arrive after it and still have them, so an
 * id is kept until the watch has passed the revision of its removal. Confined to the control
 * thread.
 */
final class RemovedIds {
  private final Map<String, Long> removalRevisions = new HashMap<>();

  void add(final String id, final long revision) {
    removalRevisions.put(id, revision);
  }

  /** Returns whether an item of an id was removed; one that was written later was not. */
  boolean contains(final String id, final StoredItem item) {
    final Long revision = removalRevisions.get(id);
    return revision != null && item.revision() < revision;
  }

  /** Drops the ids that no response can show any more. */
  void caughtUp(final long revision) {
    removalRevisions.values().removeIf(removedAt -> removedAt <= revision);
  }
}
