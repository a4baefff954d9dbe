package org.lentilsail.jobs;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lentilsail.model.job.WorkerEntry;
import org.lentilsail.store.ItemChange;
import org.lentilsail.store.PrefixListener;
import org.lentilsail.store.StoredItem;

/**
 * Follows the entries of workers in the store. An entry that vanishes may only have expired while
 * the store was away; it counts as gone after a time in which it could have come back. Control
 * thread.
 */
final class WorkerRegistry implements PrefixListener {
  /** Time in ns in which a live worker restores an entry that expired with the store away. */
  private static final long RETURN_NANOS = 2_500_000_000L;

  private final ControlContext parts;
  private final Listener listener;
  private final Runnable loaded;
  private final Set<String> present = new HashSet<>();
  private final Map<String, Long> vanishedAt = new HashMap<>();

  /** Hears of workers. */
  interface Listener {
    /** Hears of a new or changed entry. */
    void workerReported(WorkerEntry entry);

    /** Hears that the entry of a worker is gone. */
    void workerRemoved(String id);
  }

  WorkerRegistry(final ControlContext parts, final Listener listener, final Runnable loaded) {
    this.parts = parts;
    this.listener = listener;
    this.loaded = loaded;
  }

  /** Names workers that earlier holders knew; those that the registry lacks may come back. */
  void expect(final Set<String> ids) {
    present.addAll(ids);
  }

  @Override
  public void onSnapshot(final List<StoredItem> items) {
    final Set<String> before = new HashSet<>(present);
    for (final StoredItem item : items) {
      before.remove(id(item.key()));
      take(item);
    }
    before.forEach(this::vanished);
    loaded.run();
  }

  @Override
  public void onChange(final ItemChange change) {
    if (change.item().isPresent()) {
      take(change.item().get());
    } else {
      vanished(id(change.key()));
    }
  }

  /** Removes the entries that have not come back in time. */
  void tick(final long now) {
    vanishedAt
        .entrySet()
        .removeIf(
            entry -> {
              final boolean late = now - entry.getValue() >= RETURN_NANOS;
              if (late) {
                parts.log().log("worker-unlisted", "worker", entry.getKey());
                listener.workerRemoved(entry.getKey());
              }
              return late;
            });
  }

  private void take(final StoredItem item) {
    parts
        .documents()
        .worker(item)
        .ifPresent(
            entry -> {
              present.add(entry.id());
              vanishedAt.remove(entry.id());
              listener.workerReported(entry);
            });
  }

  private void vanished(final String id) {
    if (present.remove(id)) {
      vanishedAt.put(id, parts.time().nanos());
    }
  }

  private String id(final String key) {
    return key.substring(parts.documents().workersPrefix().length());
  }
}
