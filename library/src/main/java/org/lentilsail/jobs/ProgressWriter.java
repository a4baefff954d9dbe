package org.lentilsail.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lentilsail.model.job.JobProgress;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.JobRun;
import org.lentilsail.store.Transaction;

/**
 * Persists the progress of jobs, one transaction at a time. Finished runs are acknowledged to their
 * workers only after the transaction that persists them. Confined to the control thread.
 */
final class ProgressWriter {
  /**
   * Maximum number of jobs in one transaction: a precondition and a write for each, plus the
   * precondition on the term.
   */
  private static final int MAX_BATCH_SIZE = (Transaction.MAX_ENTRIES - 1) / 2;

  /** Maximum size in bytes of one document, below the maximum size of a value of the store. */
  private static final int MAX_DOCUMENT_BYTES = 512 * 1024;

  /** Delay in ms before a failed transaction is retried. */
  private static final long RETRY_DELAY_MILLIS = 60;

  private final ControlContext context;
  private final JobRegistry jobs;
  private final Runnable superseded;
  private final List<Runnable> waiters = new ArrayList<>();
  private final LeaderItems items;
  private boolean writeInFlight;
  private boolean closed;

  ProgressWriter(
      final ControlContext context,
      final JobRegistry jobs,
      final LeaderItems items,
      final Runnable superseded) {
    this.context = context;
    this.jobs = jobs;
    this.items = items;
    this.superseded = superseded;
  }

  /** Runs an action once all changes up to now are persisted. */
  void whenPersisted(final Runnable action) {
    waiters.add(action);
    flush();
  }

  void flush() {
    if (writeInFlight || closed || (waiters.isEmpty() && !jobs.hasUnsaved())) {
      return;
    }
    final List<JobRun> batch = jobs.takeUnsaved(MAX_BATCH_SIZE);
    final List<Runnable> completedWaiters = jobs.hasUnsaved() ? List.of() : List.copyOf(waiters);
    waiters.removeAll(completedWaiters);
    if (batch.isEmpty()) {
      completedWaiters.forEach(Runnable::run);
      return;
    }
    Transaction transaction = items.newTransaction();
    final List<JobProgress> written = new ArrayList<>();
    for (final JobRun job : batch) {
      final JobProgress progress = job.progress();
      written.add(progress);
      transaction =
          items.write(transaction, StoreKeys.progress(job.id()), document(job.id(), progress));
    }
    writeInFlight = true;
    send(transaction, new Batch(batch, written, completedWaiters));
  }

  /**
   * Writes the progress of a job. A document that is larger than a value of the store may be would
   * never be stored, and neither would those that share its transaction, so what can be done
   * without is left out of it.
   */
  private byte[] document(final String job, final JobProgress progress) {
    final byte[] document = Documents.write(progress);
    if (document.length <= MAX_DOCUMENT_BYTES) {
      return document;
    }
    context.log().log("progress-too-large", "job", job, "bytes", document.length);
    final byte[] smaller = Documents.write(progress.withoutCheckpoints());
    return smaller.length <= MAX_DOCUMENT_BYTES
        ? smaller
        : Documents.write(progress.withDoneTasksOnly());
  }

  void close() {
    closed = true;
  }

  /**
   * The jobs of a transaction, the progress that it writes, and the actions that wait for it.
   *
   * @param jobs the jobs
   * @param written progress of the jobs as written
   * @param waiters actions to run when the transaction has been applied
   */
  private record Batch(List<JobRun> jobs, List<JobProgress> written, List<Runnable> waiters) {
    List<String> keys() {
      return jobs.stream().map(job -> StoreKeys.progress(job.id())).toList();
    }
  }

  private void send(final Transaction transaction, final Batch batch) {
    items.commit(
        context,
        transaction,
        batch.keys(),
        (outcome, reason) -> {
          if (!closed) {
            writeInFlight = false;
            handleOutcome(batch, outcome);
          }
        });
  }

  private void handleOutcome(final Batch batch, final LeaderItems.WriteOutcome outcome) {
    if (outcome == LeaderItems.WriteOutcome.APPLIED) {
      logFinishedJobs(batch);
      batch.waiters().forEach(Runnable::run);
      flush();
      return;
    }
    batch.jobs().forEach(jobs::markChanged);
    waiters.addAll(batch.waiters());
    switch (outcome) {
      case SUPERSEDED -> superseded.run();
      case CONFLICT -> flush();
      default ->
          context.executor().schedule(this::flush, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void logFinishedJobs(final Batch batch) {
    for (int i = 0; i < batch.jobs().size(); i++) {
      final JobProgress progress = batch.written().get(i);
      if (progress.state().isFinal()) {
        final JobRun job = batch.jobs().get(i);
        final long now = context.time().nanos();
        context.metrics().recordJobEnd(progress.state().name(), now - job.arrivedAt());
        context.log().log(
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
