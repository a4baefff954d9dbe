package org.lentilsail.jobs;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lentilsail.concurrent.Callbacks;
import org.lentilsail.model.job.WorkerEntry;
import org.lentilsail.store.ItemChange;
import org.lentilsail.store.PrefixListener;
import org.lentilsail.store.StoredItem;

/**
 * Watches the worker entries in the store. An entry that disappears may only have expired while the
 * store was unavailable, so the worker counts as deregistered only after a grace period. Confined
 * to the control thread.
 */
final class WorkerRegistry implements PrefixListener {
  /**
   * Time in ns in which a live worker restores an entry that expired while the store was
   * unavailable.
   */
  private static final long GRACE_PERIOD_NANOS = 2_500_000_000L;

  private final ControlContext context;
  private final Listener listener;
  private final Runnable loaded;
  private final Set<String> registered = new HashSet<>();
  private final Map<String, Long> missingSince = new HashMap<>();

  /** Is notified of changes to the registered workers. */
  interface Listener {
    /** Called when an entry was added or changed. */
    void workerReported(WorkerEntry entry);

    /** Called when a worker was deregistered. */
    void workerRemoved(String id);
  }

  WorkerRegistry(final ControlContext context, final Listener listener, final Runnable loaded) {
    this.context = context;
    this.listener = listener;
    this.loaded = loaded;
  }

  /**
   * Adds workers known to earlier leaders. Those without an entry get the grace period to restore
   * it.
   */
  void expect(final Set<String> ids) {
    registered.addAll(ids);
  }

  @Override
  public void onSnapshot(final List<StoredItem> items) {
    final Set<String> missing = new HashSet<>(registered);
    Callbacks.forEach(
        "worker entry",
        items,
        item -> {
          missing.remove(workerId(item.key()));
          applyEntry(item);
        });
    missing.forEach(this::entryMissing);
    loaded.run();
  }

  @Override
  public void onChange(final ItemChange change) {
    if (change.item().isPresent()) {
      applyEntry(change.item().get());
    } else {
      entryMissing(workerId(change.key()));
    }
  }

  /** Removes the workers whose grace period has ended. */
  void tick(final long now) {
    missingSince
        .entrySet()
        .removeIf(
            entry -> {
              final boolean expired = now - entry.getValue() >= GRACE_PERIOD_NANOS;
              if (expired) {
                context.log().log("worker-unlisted", "worker", entry.getKey());
                listener.workerRemoved(entry.getKey());
              }
              return expired;
            });
  }

  private void applyEntry(final StoredItem item) {
    context
        .documents()
        .worker(item)
        .ifPresent(
            entry -> {
              registered.add(entry.id());
              missingSince.remove(entry.id());
              listener.workerReported(entry);
            });
  }

  private void entryMissing(final String id) {
    if (registered.remove(id)) {
      missingSince.put(id, context.time().nanos());
    }
  }

  private String workerId(final String key) {
    return key.substring(context.documents().workersPrefix().length());
  }
}
