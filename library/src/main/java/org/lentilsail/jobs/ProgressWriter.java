package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lentilsail.model.job.JobProgress;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.JobRun;
import org.lentilsail.store.Transaction;
import org.lentilsail.store.TransactionResult;

/**
 * Keeps the progress of jobs in the store, one commit at a time. Ends of runs are acknowledged to
 * their workers only after the commit that keeps them. Owned by the control thread.
 */
final class ProgressWriter {
  /** Jobs in one commit, each with a condition and a write, beside the condition on the term. */
  private static final int BATCH = (Transaction.MAX_ENTRIES - 1) / 2;

  /** Pause in ms after a failed commit. */
  private static final long RETRY_MILLIS = 60;

  private final ControlContext parts;
  private final JobRegistry jobs;
  private final Runnable superseded;
  private final List<Runnable> waiters = new ArrayList<>();
  private final LeaderItems items;
  private boolean busy;
  private boolean closed;

  ProgressWriter(
      final ControlContext parts,
      final JobRegistry jobs,
      final LeaderItems items,
      final Runnable superseded) {
    this.parts = parts;
    this.jobs = jobs;
    this.items = items;
    this.superseded = superseded;
  }

  /** Runs an action as soon as everything that has changed until now is kept. */
  void whenPersisted(final Runnable action) {
    waiters.add(action);
    flush();
  }

  void flush() {
    if (busy || closed || (waiters.isEmpty() && !jobs.hasUnsaved())) {
      return;
    }
    final List<JobRun> batch = jobs.takeUnsaved(BATCH);
    final List<Runnable> served = jobs.hasUnsaved() ? List.of() : List.copyOf(waiters);
    waiters.removeAll(served);
    if (batch.isEmpty()) {
      served.forEach(Runnable::run);
      return;
    }
    Transaction commit = items.newTransaction();
    final List<JobProgress> written = new ArrayList<>();
    for (final JobRun job : batch) {
      final JobProgress progress = job.progress();
      written.add(progress);
      commit = items.write(commit, StoreKeys.progress(job.id()), Documents.write(progress));
    }
    busy = true;
    send(commit, new Batch(batch, written, served));
  }

  void close() {
    closed = true;
  }

  /**
   * Jobs of a commit with what was written of them and who waits for it.
   *
   * @param jobs the jobs
   * @param written what was written of them
   * @param waiters actions to run when the commit is made
   */
  private record Batch(List<JobRun> jobs, List<JobProgress> written, List<Runnable> waiters) {
    List<String> keys() {
      return jobs.stream().map(job -> StoreKeys.progress(job.id())).toList();
    }
  }

  private void send(final Transaction commit, final Batch batch) {
    parts
        .store()
        .commit(commit)
        .whenCompleteAsync(
            logged(
                (result, failure) -> {
                  if (!closed) {
                    judge(batch, result, failure);
                  }
                }),
            parts.executor());
  }

  private void judge(final Batch batch, final TransactionResult result, final Throwable failure) {
    busy = false;
    if (failure != null) {
      batch.jobs().forEach(jobs::markChanged);
      waiters.addAll(batch.waiters());
      parts.executor().schedule(this::flush, RETRY_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    final LeaderItems.WriteOutcome verdict = items.handleResult(result, batch.keys());
    if (verdict != LeaderItems.WriteOutcome.APPLIED) {
      batch.jobs().forEach(jobs::markChanged);
      waiters.addAll(batch.waiters());
      if (verdict == LeaderItems.WriteOutcome.SUPERSEDED) {
        superseded.run();
      } else {
        flush();
      }
      return;
    }
    logFinal(batch);
    batch.waiters().forEach(Runnable::run);
    flush();
  }

  private void logFinal(final Batch batch) {
    for (int i = 0; i < batch.jobs().size(); i++) {
      final JobProgress progress = batch.written().get(i);
      if (progress.state().isFinal()) {
        final JobRun job = batch.jobs().get(i);
        final long now = parts.time().nanos();
        parts.metrics().recordJobEnd(progress.state().name(), now - job.arrivedAt());
        parts.log().log(
            "job-ended",
            "job",
            job.id(),
            "queue",
            job.queue().name(),
            "state",
            progress.state(),
            "ageMs",
            (now - job.arrivedAt()) / 1_000_000,
            "slackMs",
            (job.objectiveDeadline() - now) / 1_000_000);
      }
    }
  }
}
