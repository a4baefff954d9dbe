package org.lentilsail.jobs;

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
import org.lentilsail.policy.job.DropEvidence;
import org.lentilsail.policy.job.DropReason;
import org.lentilsail.policy.job.Fleet;
import org.lentilsail.policy.job.RunCommand;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.store.Transaction;

/**
 * Persists which tasks a worker may have been assigned, before their starts are sent. While a
 * worker cannot be polled, a later leader then holds back only these tasks. Starts that arrive
 * while transactions are in flight share the next one. Confined to the control thread.
 */
final class PlacementWriter {
  /**
   * Maximum number of workers in one transaction: a precondition and a write for each, plus the
   * precondition on the term.
   */
  private static final int MAX_BATCH_SIZE = (Transaction.MAX_ENTRIES - 1) / 2;

  /** Maximum number of transactions in flight; a few of them cover a fleet of 250 workers. */
  private static final int MAX_IN_FLIGHT = 4;

  /** Minimum time in ns between two transactions, which limits bursts to 125 calls a second. */
  private static final long MIN_INTERVAL_NANOS = 8_000_000L;

  /** Delay in ns after a failed transaction. */
  private static final long RETRY_DELAY_NANOS = 60_000_000L;

  /** Interval in ns between removals of the items of terminated workers. */
  private static final long REMOVE_INTERVAL_NANOS = 1_000_000_000L;

  private final ControlContext context;
  private final Fleet fleet;
  private final RunTracker runTracker;
  private final LeaderItems items;
  private final Consumer<RunCommand> send;
  private final Consumer<String> onRemoved;
  private final Runnable stateChanged;
  private final Runnable superseded;
  private final Map<WorkerState, List<RunCommand.Start>> waiting = new LinkedHashMap<>();
  private final Set<WorkerState> workersInFlight = new HashSet<>();
  private final Set<String> terminatedWorkers = new LinkedHashSet<>();
  private int transactionsInFlight;
  private boolean removing;

  /**
   * Monotonic time in ns of the last removal. The initial value lies before any monotonic time and
   * does not overflow in differences.
   */
  private long removedAt = Long.MIN_VALUE / 2;

  private long nextTransactionAt = Long.MIN_VALUE / 2;
  private boolean flushScheduled;
  private boolean closed;

  PlacementWriter(
      final ControlContext context,
      final Fleet fleet,
      final RunTracker runTracker,
      final LeaderItems items,
      final Consumer<RunCommand> send,
      final Consumer<String> onRemoved,
      final Runnable stateChanged,
      final Runnable superseded) {
    this.context = context;
    this.fleet = fleet;
    this.runTracker = runTracker;
    this.items = items;
    this.send = send;
    this.onRemoved = onRemoved;
    this.stateChanged = stateChanged;
    this.superseded = superseded;
  }

  /** Sends the starts once their placements are persisted. */
  void start(final List<RunCommand.Start> starts) {
    for (final RunCommand.Start start : starts) {
      waiting.computeIfAbsent(start.run().worker(), worker -> new ArrayList<>()).add(start);
    }
    flush();
  }

  /**
   * Removes the item of a terminated worker at a later tick, unless it has been admitted again by
   * then. There may be one of which the leader does not know, as its write was not confirmed.
   */
  void workerRemoved(final String worker) {
    terminatedWorkers.add(worker);
  }

  void tick(final long now) {
    terminatedWorkers.removeIf(worker -> fleet.worker(worker) != null);
    if (!removing && !terminatedWorkers.isEmpty() && now - removedAt >= REMOVE_INTERVAL_NANOS) {
      removedAt = now;
      remove(terminatedWorkers.stream().limit(MAX_BATCH_SIZE).toList());
    }
  }

  void close() {
    closed = true;
  }

  private void remove(final List<String> workers) {
    removing = true;
    final List<String> keys = workers.stream().map(StoreKeys::placement).toList();
    Transaction transaction = items.newTransaction();
    for (final String key : keys) {
      transaction = items.remove(transaction, key);
    }
    items.commit(
        context,
        transaction,
        keys,
        (outcome, reason) -> {
          removing = false;
          if (outcome == LeaderItems.WriteOutcome.APPLIED) {
            keys.forEach(items::forget);
            terminatedWorkers.removeAll(workers);
            workers.forEach(onRemoved);
          } else {
            context.log().log("placement-not-removed", "reason", reason);
          }
        });
  }

  private void flush() {
    if (closed || waiting.isEmpty() || transactionsInFlight >= MAX_IN_FLIGHT) {
      return;
    }
    final long delayNanos = nextTransactionAt - context.time().nanos();
    if (delayNanos > 0) {
      flushAfter(delayNanos);
      return;
    }
    final Map<WorkerState, List<RunCommand.Start>> batch = takeBatch();
    if (!batch.isEmpty()) {
      nextTransactionAt = context.time().nanos() + MIN_INTERVAL_NANOS;
      commit(batch);
      flush();
    }
  }

  private void flushAfter(final long nanos) {
    if (!flushScheduled) {
      flushScheduled = true;
      context
          .executor()
          .schedule(
              () -> {
                flushScheduled = false;
                flush();
              },
              nanos,
              TimeUnit.NANOSECONDS);
    }
  }

  /**
   * Takes the next batch. Skips workers with a transaction in flight, because the revision of their
   * item is not known yet, and those that were removed: their item may be that of a worker that has
   * been admitted again.
   */
  private Map<WorkerState, List<RunCommand.Start>> takeBatch() {
    final Map<WorkerState, List<RunCommand.Start>> batch = new LinkedHashMap<>();
    waiting.keySet().removeIf(worker -> fleet.worker(worker.id()) != worker);
    final Iterator<Map.Entry<WorkerState, List<RunCommand.Start>>> entries =
        waiting.entrySet().iterator();
    while (entries.hasNext() && batch.size() < MAX_BATCH_SIZE) {
      final Map.Entry<WorkerState, List<RunCommand.Start>> entry = entries.next();
      if (workersInFlight.add(entry.getKey())) {
        batch.put(entry.getKey(), entry.getValue());
        entries.remove();
      }
    }
    return batch;
  }

  private void commit(final Map<WorkerState, List<RunCommand.Start>> batch) {
    transactionsInFlight++;
    Transaction transaction = items.newTransaction();
    for (final WorkerState worker : batch.keySet()) {
      transaction =
          items.write(
              transaction,
              StoreKeys.placement(worker.id()),
              Documents.write(PlacementDocument.of(worker.unresolvedTasks())));
    }
    items.commit(
        context,
        transaction,
        batch.keySet().stream().map(worker -> StoreKeys.placement(worker.id())).toList(),
        (outcome, reason) -> {
          transactionsInFlight--;
          workersInFlight.removeAll(batch.keySet());
          if (!closed) {
            handleOutcome(batch, outcome, reason);
          }
        });
  }

  private void handleOutcome(
      final Map<WorkerState, List<RunCommand.Start>> batch,
      final LeaderItems.WriteOutcome outcome,
      final String reason) {
    if (outcome == LeaderItems.WriteOutcome.APPLIED) {
      batch.values().forEach(starts -> starts.forEach(send));
    } else {
      final long now = context.time().nanos();
      final DropEvidence evidence =
          new DropEvidence(DropReason.START_NOT_SENT, "placement not stored: " + reason, now);
      batch.forEach((worker, starts) -> abandon(worker, starts, evidence, now));
      if (outcome == LeaderItems.WriteOutcome.SUPERSEDED) {
        superseded.run();
        return;
      }
      context.log().log("placement-not-kept", "workers", batch.size(), "reason", reason);
      nextTransactionAt = now + RETRY_DELAY_NANOS;
      stateChanged.run();
    }
    flush();
  }

  private void abandon(
      final WorkerState worker,
      final List<RunCommand.Start> starts,
      final DropEvidence evidence,
      final long now) {
    for (final RunCommand.Start start : starts) {
      if (worker.runs().contains(start.run())) {
        runTracker.startRejected(start.run(), evidence, now);
      }
    }
  }
}
