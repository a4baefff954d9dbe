package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.JobRun;
import org.lentilsail.policy.job.PoolLoad;
import org.lentilsail.policy.job.PoolLoadCalculator;
import org.lentilsail.store.Transaction;

/** Publishes the numbers of waiting jobs and removes jobs that ended long ago. Control thread. */
final class Housekeeping {
  /** Time in ns between publications; callers may see numbers up to 2 s old. */
  private static final long PUBLISH_NANOS = 700_000_000L;

  /** Time in ns between lines about the load of the pools. */
  private static final long LOG_NANOS = 1_000_000_000L;

  /** Time in ns between removals. */
  private static final long REMOVE_NANOS = 5_000_000_000L;

  /** Time in ms for which a job is kept beyond the time in which it can be asked for. */
  private static final long KEEP_MARGIN_MILLIS = 60_000;

  /** Jobs removed in one commit; each has three items. */
  private static final int REMOVE_BATCH = (Transaction.MAX_ENTRIES - 1) / 3;

  private final ControlContext parts;
  private final JobRegistry jobs;
  private final Fleet fleet;
  private final LeaderItems items;
  private long loggedAt = Long.MIN_VALUE / 2;
  private Map<String, Integer> published;
  private long publishedAt = Long.MIN_VALUE / 2;
  private long removedAt = Long.MIN_VALUE / 2;
  private boolean busy;

  Housekeeping(
      final ControlContext parts,
      final JobRegistry jobs,
      final Fleet fleet,
      final LeaderItems items) {
    this.items = items;
    this.parts = parts;
    this.fleet = fleet;
    this.jobs = jobs;
  }

  void tick(final long now) {
    if (now - loggedAt >= LOG_NANOS) {
      loggedAt = now;
      new PoolLoadCalculator(jobs, fleet).measure(now).forEach(this::logLoad);
    }
    if (!busy && now - publishedAt >= PUBLISH_NANOS) {
      publish(now);
    }
    if (!busy && now - removedAt >= REMOVE_NANOS) {
      removedAt = now;
      remove();
    }
  }

  private void logLoad(final PoolLoad load) {
    parts.log().log(
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

  private void publish(final long now) {
    final Map<String, Integer> counts = new HashMap<>();
    for (final JobRun job : jobs.active()) {
      if (!job.hasStarted() && !job.submitted().spec().timed()) {
        counts.merge(job.submitted().queue(), 1, Integer::sum);
      }
    }
    publishedAt = now;
    if (counts.equals(published)) {
      return;
    }
    commit(
        items
            .newTransaction()
            .write(StoreKeys.WAITING, Documents.write(new WaitingDocument(counts)), 0),
        () -> published = counts);
  }

  private void remove() {
    final long before =
        parts.time().wallMillis() - parts.bounds().stateRetentionMillis() - KEEP_MARGIN_MILLIS;
    final List<String> old = new ArrayList<>();
    for (final JobRun job : jobs.all()) {
      if (old.size() < REMOVE_BATCH
          && job.state().isFinal()
          && job.finishedMillis() > 0
          && job.finishedMillis() < before) {
        old.add(job.id());
      }
    }
    if (old.isEmpty()) {
      return;
    }
    Transaction commit = items.newTransaction();
    for (final String id : old) {
      commit =
          commit
              .remove(StoreKeys.submission(id))
              .remove(StoreKeys.cancellation(id))
              .remove(StoreKeys.progress(id));
    }
    commit(commit, () -> forget(old));
  }

  private void forget(final List<String> ids) {
    for (final String id : ids) {
      jobs.remove(id);
      items.forget(StoreKeys.progress(id));
    }
  }

  private void commit(final Transaction commit, final Runnable done) {
    busy = true;
    parts
        .store()
        .commit(commit)
        .whenCompleteAsync(
            logged(
                (result, failure) -> {
                  busy = false;
                  if (failure == null && result.applied()) {
                    done.run();
                  }
                }),
            parts.executor());
  }
}
