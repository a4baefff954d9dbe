package org.lentilsail.jobs;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lentilsail.model.job.JobProgress;
import org.lentilsail.model.job.SubmittedJob;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.JobRun;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.store.ItemChange;
import org.lentilsail.store.PrefixListener;
import org.lentilsail.store.StoredItem;

/** Takes submissions and cancellations from the store into the job book. Control thread. */
final class JobInput implements PrefixListener {
  private final ControlContext parts;
  private final JobRegistry jobs;
  private final RunTracker ledger;
  private final Runnable loaded;
  private final Runnable changed;
  private final Map<String, JobProgress> kept = new HashMap<>();
  private final Set<String> cancelledEarly = new HashSet<>();

  JobInput(
      final ControlContext parts,
      final JobRegistry jobs,
      final RunTracker ledger,
      final Runnable loaded,
      final Runnable changed) {
    this.parts = parts;
    this.jobs = jobs;
    this.ledger = ledger;
    this.loaded = loaded;
    this.changed = changed;
  }

  /** Takes over the progress that earlier holders have kept. */
  void restore(final List<StoredItem> items) {
    for (final StoredItem item : items) {
      Documents.<JobProgress>read(Documents.PROGRESS, item)
          .ifPresent(
              progress -> kept.put(item.key().substring(StoreKeys.PROGRESS.length()), progress));
    }
  }

  @Override
  public void onSnapshot(final List<StoredItem> items) {
    for (final StoredItem item : items) {
      take(item, true);
    }
    loaded.run();
  }

  @Override
  public void onChange(final ItemChange change) {
    change.item().ifPresent(item -> take(item, false));
  }

  @Override
  public void onBatchEnd() {
    changed.run();
  }

  private void take(final StoredItem item, final boolean old) {
    final String id = StoreKeys.inputId(item.key());
    if (StoreKeys.isCancellation(item.key())) {
      cancel(id);
    } else if (jobs.job(id) == null) {
      Documents.<SubmittedJob>read(Documents.SUBMISSION, item).ifPresent(job -> accept(job, old));
    }
  }

  private void accept(final SubmittedJob job, final boolean old) {
    final String id = job.spec().id();
    final long age = old ? parts.time().wallMillis() - job.acceptedMillis() : 0;
    jobs.accept(job, age, parts.time().nanos());
    final JobProgress progress = kept.remove(id);
    if (progress != null) {
      jobs.restore(id, progress, parts.time().nanos());
    }
    if (cancelledEarly.remove(id)) {
      cancel(id);
    }
  }

  private void cancel(final String id) {
    if (jobs.job(id) == null) {
      cancelledEarly.add(id);
      return;
    }
    final JobRun job = jobs.cancel(id, parts.time().wallMillis());
    if (job != null) {
      ledger.stopAll(job, "the job was cancelled");
      parts.log().log("job-cancelled", "job", id, "queue", job.queue().name());
    }
  }
}
