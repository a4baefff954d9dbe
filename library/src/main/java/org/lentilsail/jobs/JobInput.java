package org.lentilsail.jobs;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.lentilsail.concurrent.Callbacks;
import org.lentilsail.log.LineKind;
import org.lentilsail.model.job.JobProgress;
import org.lentilsail.model.job.SubmittedJob;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.JobRun;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.store.ItemChange;
import org.lentilsail.store.PrefixListener;
import org.lentilsail.store.StoredItem;

/**
 * Applies submissions and cancellations from the store to the job registry. Confined to the control
 * thread.
 */
final class JobInput implements PrefixListener {
  private final ControlContext context;
  private final JobRegistry jobs;
  private final RunTracker runTracker;
  private final Runnable loaded;
  private final Runnable stateChanged;
  private final Map<String, JobProgress> persistedProgress = new HashMap<>();
  private final CancelledIds cancelledIds;
  private final RemovedIds removedIds;
  private boolean firstSnapshotRead;

  JobInput(
      final ControlContext context,
      final JobRegistry jobs,
      final RunTracker runTracker,
      final CancelledIds cancelledIds,
      final RemovedIds removedIds,
      final Runnable loaded,
      final Runnable stateChanged) {
    this.context = context;
    this.jobs = jobs;
    this.runTracker = runTracker;
    this.cancelledIds = cancelledIds;
    this.removedIds = removedIds;
    this.loaded = loaded;
    this.stateChanged = stateChanged;
  }

  /** Restores the progress that earlier leaders have persisted. */
  void restore(final List<StoredItem> items) {
    for (final StoredItem item : items) {
      Documents.<JobProgress>read(Documents.PROGRESS, item)
          .ifPresent(
              progress ->
                  persistedProgress.put(
                      item.key().substring(StoreKeys.PROGRESS.length()), progress));
    }
  }

  @Override
  public void onSnapshot(final List<StoredItem> items) {
    cancelledIds.retain(cancelledIds(items));
    Callbacks.forEach("job input", items, item -> applyItem(item, true));
    firstSnapshotRead = true;
    loaded.run();
  }

  @Override
  public void onChange(final ItemChange change) {
    change.item().ifPresentOrElse(item -> applyItem(item, false), () -> removed(change.key()));
  }

  @Override
  public void onBatchEnd() {
    stateChanged.run();
  }

  @Override
  public void onCaughtUp(final long revision) {
    removedIds.caughtUp(revision);
  }

  private static Set<String> cancelledIds(final List<StoredItem> items) {
    return items.stream()
        .map(StoredItem::key)
        .filter(StoreKeys::isCancellation)
        .map(StoreKeys::inputId)
        .collect(Collectors.toSet());
  }

  /** Forgets a cancellation that was removed, also by a write without an answer. */
  private void removed(final String key) {
    if (StoreKeys.isCancellation(key)) {
      cancelledIds.remove(StoreKeys.inputId(key));
    }
  }

  private void applyItem(final StoredItem item, final boolean fromSnapshot) {
    final String id = StoreKeys.inputId(item.key());
    if (removedIds.contains(id, item)) {
      return;
    }
    if (StoreKeys.isCancellation(item.key())) {
      cancel(id, item);
    } else if (jobs.job(id) == null) {
      Documents.<SubmittedJob>read(Documents.SUBMISSION, item)
          .filter(job -> job.spec().id().equals(id))
          .ifPresent(job -> accept(job, fromSnapshot));
    }
  }

  private void accept(final SubmittedJob job, final boolean fromSnapshot) {
    final String id = job.spec().id();
    final long age = fromSnapshot ? context.time().wallMillis() - job.acceptedMillis() : 0;
    if (jobs.accept(job, age, context.time().nanos()).isSetAside()) {
      context.log().log("job-set-aside", "job", id, "reason", "it has too many tasks");
    }
    final JobProgress progress = persistedProgress.remove(id);
    if (fromSnapshot) {
      logAccepted(job, progress != null);
    }
    if (progress != null) {
      jobs.restore(id, progress, context.time().nanos());
    }
    if (cancelledIds.remove(id)) {
      cancel(id);
    }
  }

  /**
   * Logs a job of a list. After the first list of a leader the changes have the new jobs, so one
   * that only a later list shows was missed, or was removed before.
   */
  private void logAccepted(final SubmittedJob job, final boolean hasProgress) {
    context.log().log(
        firstSnapshotRead ? LineKind.BELIEF : LineKind.ORDINARY,
        "job-accepted",
        "job",
        job.spec().id(),
        "fromSnapshot",
        firstSnapshotRead ? "later" : "first",
        "progress",
        hasProgress ? "found" : "none",
        "ageMs",
        context.time().wallMillis() - job.acceptedMillis());
  }

  private void cancel(final String id, final StoredItem item) {
    if (jobs.job(id) == null) {
      cancelledIds.add(id, item, context.time().wallMillis());
    } else {
      cancel(id);
    }
  }

  private void cancel(final String id) {
    final JobRun job = jobs.cancel(id, context.time().wallMillis());
    if (job != null) {
      runTracker.stopAll(job, "the job was cancelled");
      context.log().log("job-cancelled", "job", id, "queue", job.queue().name());
    }
  }
}
