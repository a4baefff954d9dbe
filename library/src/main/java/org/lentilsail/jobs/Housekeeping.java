package org.lentilsail.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.IdleJob;
import org.lentilsail.policy.job.IdleJobs;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.JobRun;
import org.lentilsail.policy.job.PoolLoad;
import org.lentilsail.policy.job.PoolLoadCalculator;
import org.lentilsail.policy.job.QuotaHold;
import org.lentilsail.store.Transaction;

/**
 * Publishes the number of waiting jobs and removes expired finished jobs. Confined to the control
 * thread.
 */
final class Housekeeping {
  /** Interval in ns between publications; callers accept counts that are up to 2 s old. */
  private static final long PUBLISH_INTERVAL_NANOS = 700_000_000L;

  /** Interval in ns between log lines about pool load and jobs without a run. */
  private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Interval in ns between removals, unless more jobs have expired than one of them removes. */
  private static final long REMOVE_INTERVAL_NANOS = 5_000_000_000L;

  /**
   * Time in ms for which a finished job is retained beyond the period in which its state can be
   * queried.
   */
  private static final long RETENTION_MARGIN_MILLIS = 60_000;

  /** Maximum number of jobs removed in one transaction; each job has three items. */
  private static final int MAX_REMOVE_BATCH_SIZE = (Transaction.MAX_ENTRIES - 1) / 3;

  private final ControlContext context;
  private final JobRegistry jobs;
  private final CancelledIds cancelledIds;
  private final RemovedIds removedIds;
  private final Fleet fleet;
  private final LeaderItems items;
  private final QuotaReport quotas;

  /**
   * Monotonic time in ns of the last log lines. The initial value lies before any monotonic time
   * and does not overflow in differences.
   */
  private long loggedAt = Long.MIN_VALUE / 2;

  private Map<String, Integer> publishedCounts;
  private long publishedAt = Long.MIN_VALUE / 2;
  private long removedAt = Long.MIN_VALUE / 2;
  private boolean writeInFlight;

  /** Whether the last removal left expired jobs, which the next tick removes. */
  private boolean moreExpired;

  private int cancellationBatchSize = MAX_REMOVE_BATCH_SIZE;

  Housekeeping(
      final ControlContext context,
      final JobRegistry jobs,
      final CancelledIds cancelledIds,
      final RemovedIds removedIds,
      final Fleet fleet,
      final LeaderItems items) {
    this.items = items;
    this.quotas = new QuotaReport(context, jobs);
    this.context = context;
    this.fleet = fleet;
    this.jobs = jobs;
    this.cancelledIds = cancelledIds;
    this.removedIds = removedIds;
  }

  void tick(final long now) {
    if (now - loggedAt >= LOG_INTERVAL_NANOS) {
      loggedAt = now;
      new PoolLoadCalculator(jobs, fleet).measure(now).forEach(this::logLoad);
      final IdleJobs idleJobs = new IdleJobs(jobs, fleet);
      logIdleJobs(idleJobs.find(now));
      quotas.report(idleJobs.heldByOrganisation());
    }
    if (!writeInFlight && now - publishedAt >= PUBLISH_INTERVAL_NANOS) {
      publish(now);
    }
    if (!writeInFlight && (moreExpired || now - removedAt >= REMOVE_INTERVAL_NANOS)) {
      removedAt = now;
      removeExpired();
    }
  }

  private void logLoad(final PoolLoad load) {
    context.log().log(
        "pool-load",
        "service",
        load.service(),
        "workers",
        load.workers(),
        "cpu",
        load.capacity().cpuMillis(),
        "lastingCpu",
        load.longRunning().cpuMillis(),
        "shortCpu",
        load.batchRunning().cpuMillis(),
        "memoryMb",
        load.capacity().memoryMb(),
        "lastingMb",
        load.longRunning().memoryMb(),
        "shortMb",
        load.batchRunning().memoryMb(),
        "workMs",
        Math.round(load.remainingCoreMillis()),
        "waiting",
        load.waitingTasks());
  }

  private void logIdleJobs(final List<IdleJob> idleJobs) {
    context
        .metrics()
        .recordLongestIdleJob(
            idleJobs.stream()
                .filter(idle -> idle.quota() == QuotaHold.NONE)
                .mapToLong(IdleJob::idleNanos)
                .findFirst()
                .orElse(0));
    for (final IdleJob idle : idleJobs) {
      context.log().log(
          "job-idle",
          "job",
          idle.job(),
          "service",
          idle.service(),
          "idleMs",
          idle.idleNanos() / NANOS_PER_MILLI,
          "quota",
          idle.quota(),
          "workers",
          idle.workers());
    }
  }

  /**
   * Publishes the counts of waiting jobs. The write requires the revision that it replaces, so one
   * that is executed late does not replace a newer one.
   */
  private void publish(final long now) {
    final Map<String, Integer> counts = new HashMap<>();
    for (final JobRun job : jobs.active()) {
      if (!job.hasStarted() && !job.submitted().spec().timed()) {
        counts.merge(job.submitted().queue(), 1, Integer::sum);
      }
    }
    publishedAt = now;
    if (counts.equals(publishedCounts)) {
      return;
    }
    final Transaction transaction =
        items.write(
            items.newTransaction(),
            StoreKeys.WAITING,
            Documents.write(new WaitingDocument(counts)));
    commit(
        transaction,
        List.of(StoreKeys.WAITING),
        () -> publishedCounts = counts,
        () -> publishedAt = Long.MIN_VALUE / 2);
  }

  private void removeExpired() {
    final long finishedBefore =
        context.time().wallMillis()
            - context.bounds().stateRetentionMillis()
            - RETENTION_MARGIN_MILLIS;
    final List<String> expired = new ArrayList<>();
    for (final JobRun job : jobs.all()) {
      if (expired.size() < MAX_REMOVE_BATCH_SIZE
          && job.state().isFinal()
          && job.finishedMillis() > 0
          && job.finishedMillis() < finishedBefore) {
        expired.add(job.id());
      }
    }
    moreExpired = expired.size() == MAX_REMOVE_BATCH_SIZE;
    if (expired.isEmpty()) {
      removeCancellations(cancelledIds.before(finishedBefore, cancellationBatchSize));
      return;
    }
    Transaction transaction = items.newTransaction();
    for (final String id : expired) {
      transaction =
          transaction
              .remove(StoreKeys.submission(id))
              .remove(StoreKeys.cancellation(id))
              .remove(StoreKeys.progress(id));
    }
    commit(transaction, List.of(), () -> forget(expired), () -> {});
  }

  /** Removes cancellations of jobs that were never accepted. */
  private void removeCancellations(final List<String> ids) {
    if (ids.isEmpty()) {
      return;
    }
    moreExpired = ids.size() == cancellationBatchSize;
    Transaction transaction = items.newTransaction();
    for (final String id : ids) {
      final String key = StoreKeys.cancellation(id);
      transaction =
          transaction
              .requireRevision(StoreKeys.submission(id), 0)
              .requireRevision(key, cancelledIds.revision(id))
              .remove(key);
    }
    commit(
        transaction,
        List.of(),
        () -> {
          ids.forEach(cancelledIds::remove);
          markRemoved(ids);
          cancellationBatchSize = MAX_REMOVE_BATCH_SIZE;
        },
        () -> cancellationsChanged(ids));
  }

  /** Finds the cancellation whose items have changed by removing them one by one. */
  private void cancellationsChanged(final List<String> ids) {
    if (ids.size() == 1) {
      cancelledIds.postpone(ids.get(0), context.time().wallMillis());
    }
    cancellationBatchSize = 1;
    moreExpired = true;
  }

  private void forget(final List<String> ids) {
    markRemoved(ids);
    for (final String id : ids) {
      jobs.remove(id);
      items.forget(StoreKeys.progress(id));
    }
  }

  private void markRemoved(final List<String> ids) {
    ids.forEach(id -> removedIds.add(id, items.appliedRevision()));
  }

  private void commit(
      final Transaction transaction,
      final List<String> keys,
      final Runnable onApplied,
      final Runnable onConflict) {
    writeInFlight = true;
    items.commit(
        context,
        transaction,
        keys,
        (outcome, reason) -> {
          writeInFlight = false;
          if (outcome == LeaderItems.WriteOutcome.APPLIED) {
            onApplied.run();
          } else if (outcome == LeaderItems.WriteOutcome.CONFLICT) {
            onConflict.run();
          }
        });
  }
}
