package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lentilsail.policy.job.RunCommand;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.store.Transaction;
import org.lentilsail.store.TransactionResult;

/**
 * Keeps in the store, before a start is sent, which tasks a worker may have been given. A later
 * holder then holds back only these while the worker cannot be asked. Starts that come while
 * commits are on their way share the next one. Owned by the control thread.
 */
final class PlacementWriter {
  /** Workers in one commit, each with a condition and a write, beside the condition on the term. */
  private static final int BATCH = (Transaction.MAX_ENTRIES - 1) / 2;

  /** Commits on their way at once; a fleet of 250 workers is given work in a few of them. */
  private static final int MAX_COMMITS = 4;

  /** Least time in ns between two commits, which bounds the calls in a peak to 125 a second. */
  private static final long INTERVAL_NANOS = 8_000_000L;

  /** Pause in ns after a commit that failed. */
  private static final long RETRY_NANOS = 60_000_000L;

  /** Time in ns between removals of the items of workers that have ended. */
  private static final long REMOVE_NANOS = 1_000_000_000L;

  private final ControlContext parts;
  private final RunTracker ledger;
  private final LeaderItems items;
  private final Consumer<RunCommand> send;
  private final Runnable changed;
  private final Runnable superseded;
  private final Map<WorkerState, List<RunCommand.Start>> waiting = new LinkedHashMap<>();
  private final Set<WorkerState> underWay = new HashSet<>();
  private final Set<String> ended = new LinkedHashSet<>();
  private int commits;
  private boolean removing;
  private long removedAt = Long.MIN_VALUE / 2;
  private long nextAt = Long.MIN_VALUE / 2;
  private boolean scheduled;
  private boolean closed;

  PlacementWriter(
      final ControlContext parts,
      final RunTracker ledger,
      final LeaderItems items,
      final Consumer<RunCommand> send,
      final Runnable changed,
      final Runnable superseded) {
    this.parts = parts;
    this.ledger = ledger;
    this.items = items;
    this.send = send;
    this.changed = changed;
    this.superseded = superseded;
  }

  /** Sends starts as soon as they are kept. */
  void start(final List<RunCommand.Start> starts) {
    for (final RunCommand.Start start : starts) {
      waiting.computeIfAbsent(start.run().worker(), worker -> new ArrayList<>()).add(start);
    }
    flush();
  }

  /** Removes the item of a worker that has ended, at the next tick. */
  void forget(final String worker) {
    if (items.isPresent(StoreKeys.placement(worker))) {
      ended.add(worker);
    }
  }

  void tick(final long now) {
    if (!removing && !ended.isEmpty() && now - removedAt >= REMOVE_NANOS) {
      removedAt = now;
      remove(ended.stream().limit(BATCH).toList());
    }
  }

  void close() {
    closed = true;
  }

  private void remove(final List<String> workers) {
    removing = true;
    final List<String> keys = workers.stream().map(StoreKeys::placement).toList();
    Transaction commit = items.newTransaction();
    for (final String key : keys) {
      commit = items.remove(commit, key);
    }
    parts
        .store()
        .commit(commit)
        .whenCompleteAsync(
            logged(
                (result, failure) -> {
                  removing = false;
                  if (failure != null) {
                    parts.log().log("placement-not-removed", "reason", failure.getMessage());
                  } else if (items.handleResult(result, keys) == LeaderItems.WriteOutcome.APPLIED) {
                    keys.forEach(items::forget);
                    ended.removeAll(workers);
                  }
                }),
            parts.executor());
  }

  private void flush() {
    if (closed || waiting.isEmpty() || commits >= MAX_COMMITS) {
      return;
    }
    final long pause = nextAt - parts.time().nanos();
    if (pause > 0) {
      flushAfter(pause);
      return;
    }
    final Map<WorkerState, List<RunCommand.Start>> batch = takeBatch();
    if (!batch.isEmpty()) {
      nextAt = parts.time().nanos() + INTERVAL_NANOS;
      commit(batch);
      flush();
    }
  }

  private void flushAfter(final long nanos) {
    if (!scheduled) {
      scheduled = true;
      parts
          .executor()
          .schedule(
              () -> {
                scheduled = false;
                flush();
              },
              nanos,
              TimeUnit.NANOSECONDS);
    }
  }

  /** Takes workers of which no commit is on its way; its revision would not be known. */
  private Map<WorkerState, List<RunCommand.Start>> takeBatch() {
    final Map<WorkerState, List<RunCommand.Start>> batch = new LinkedHashMap<>();
    final Iterator<Map.Entry<WorkerState, List<RunCommand.Start>>> entries =
        waiting.entrySet().iterator();
    while (entries.hasNext() && batch.size() < BATCH) {
      final Map.Entry<WorkerState, List<RunCommand.Start>> entry = entries.next();
      if (underWay.add(entry.getKey())) {
        batch.put(entry.getKey(), entry.getValue());
        entries.remove();
      }
    }
    return batch;
  }

  private void commit(final Map<WorkerState, List<RunCommand.Start>> batch) {
    commits++;
    Transaction commit = items.newTransaction();
    for (final WorkerState worker : batch.keySet()) {
      ended.remove(worker.id());
      commit =
          items.write(
              commit,
              StoreKeys.placement(worker.id()),
              Documents.write(PlacementDocument.of(worker.unresolvedTasks())));
    }
    parts
        .store()
        .commit(commit)
        .whenCompleteAsync(
            logged(
                (result, failure) -> {
                  commits--;
                  underWay.removeAll(batch.keySet());
                  if (!closed) {
                    judge(batch, result, failure);
                  }
                }),
            parts.executor());
  }

  private void judge(
      final Map<WorkerState, List<RunCommand.Start>> batch,
      final TransactionResult result,
      final Throwable failure) {
    final LeaderItems.WriteOutcome verdict =
        failure == null
            ? items.handleResult(
                result, batch.keySet().stream().map(w -> StoreKeys.placement(w.id())).toList())
            : LeaderItems.WriteOutcome.CONFLICT;
    if (verdict == LeaderItems.WriteOutcome.APPLIED) {
      batch.values().forEach(starts -> starts.forEach(send));
    } else {
      final long now = parts.time().nanos();
      batch.forEach((worker, starts) -> giveUp(worker, starts, now));
      if (verdict == LeaderItems.WriteOutcome.SUPERSEDED) {
        superseded.run();
        return;
      }
      parts.log().log(
          "placement-not-kept",
          "workers",
          batch.size(),
          "reason",
          failure == null ? "an item was different" : failure.getMessage());
      nextAt = now + RETRY_NANOS;
      changed.run();
    }
    flush();
  }

  private void giveUp(
      final WorkerState worker, final List<RunCommand.Start> starts, final long now) {
    for (final RunCommand.Start start : starts) {
      if (worker.runs().contains(start.run())) {
        ledger.startRejected(start.run(), now);
      }
    }
  }
}
