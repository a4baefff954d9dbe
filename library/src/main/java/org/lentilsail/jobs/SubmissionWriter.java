package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.job.SubmittedJob;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.StoredItem;
import org.lentilsail.store.Transaction;
import org.lentilsail.store.TransactionResult;

/**
 * Keeps submitted jobs in the store before they are answered. Jobs that arrive while a commit is on
 * its way share the next one. The condition that the job's item does not exist makes one job of all
 * submissions of one id, through any daemon. Owned by the control thread; {@link #submit} may be
 * called from any thread.
 */
public final class SubmissionWriter {
  /** Jobs in one commit; each takes a condition and a write. */
  private static final int BATCH = Transaction.MAX_ENTRIES / 2;

  /** Commits on their way at once. */
  private static final int MAX_COMMITS = 4;

  private final KeyValueStore store;
  private final Executor executor;
  private final DecisionLog log;
  private final StoreAvailability availability;
  private final Deque<Pending> queue = new ArrayDeque<>();
  private int commits;

  /**
   * A job that waits for its commit.
   *
   * @param job the job
   * @param outcome completed with what the caller may be told
   */
  private record Pending(SubmittedJob job, CompletableFuture<SubmitOutcome> outcome) {
    String key() {
      return StoreKeys.submission(job.spec().id());
    }
  }

  /**
   * Creates an object without submissions.
   *
   * @param store the store
   * @param executor control thread
   * @param log decisions
   * @param availability whether the store serves this daemon
   */
  public SubmissionWriter(
      final KeyValueStore store,
      final Executor executor,
      final DecisionLog log,
      final StoreAvailability availability) {
    this.store = store;
    this.executor = executor;
    this.log = log;
    this.availability = availability;
  }

  /**
   * Keeps a job.
   *
   * @param job the job
   * @return what the caller may be told; completes on the control thread and never fails
   */
  public CompletableFuture<SubmitOutcome> submit(final SubmittedJob job) {
    final CompletableFuture<SubmitOutcome> outcome = new CompletableFuture<>();
    executor.execute(() -> enqueue(new Pending(job, outcome)));
    return outcome;
  }

  private void enqueue(final Pending pending) {
    if (!availability.allowsCall()) {
      answer(pending, SubmitOutcome.NOT_ACCEPTED, "the store does not answer");
      return;
    }
    queue.add(pending);
    send();
  }

  private void send() {
    while (commits < MAX_COMMITS && !queue.isEmpty()) {
      commit(takeBatch());
    }
  }

  private List<Pending> takeBatch() {
    final List<Pending> batch = new ArrayList<>();
    final List<Pending> later = new ArrayList<>();
    final Set<String> keys = new HashSet<>();
    while (batch.size() < BATCH && !queue.isEmpty()) {
      final Pending next = queue.poll();
      if (keys.add(next.key())) {
        batch.add(next);
      } else {
        later.add(next);
      }
    }
    later.forEach(queue::addFirst);
    return batch;
  }

  private void commit(final List<Pending> batch) {
    commits++;
    Transaction commit = Transaction.empty();
    for (final Pending pending : batch) {
      commit =
          commit
              .requireRevision(pending.key(), 0)
              .write(pending.key(), Documents.write(pending.job()), 0);
    }
    store
        .commit(commit)
        .whenCompleteAsync(
            logged(
                (result, failure) -> {
                  commits--;
                  if (failure == null) {
                    availability.recordSuccess();
                    judge(batch, result);
                  } else {
                    failed(batch, failure);
                  }
                  send();
                }),
            executor);
  }

  private void judge(final List<Pending> batch, final TransactionResult result) {
    final Set<String> present = new HashSet<>();
    if (!result.applied()) {
      result.currentItems().stream().map(StoredItem::key).forEach(present::add);
    }
    for (final Pending pending : batch) {
      if (result.applied()) {
        answer(pending, SubmitOutcome.ACCEPTED, "stored at revision " + result.revision());
      } else if (present.contains(pending.key())) {
        answer(pending, SubmitOutcome.ACCEPTED, "accepted before");
      } else if (present.isEmpty()) {
        answer(pending, SubmitOutcome.UNKNOWN, "the store refused without a reason");
      } else {
        queue.addFirst(pending);
      }
    }
  }

  private void failed(final List<Pending> batch, final Throwable failure) {
    availability.recordFailure();
    final boolean unknown = isOutcomeUnknown(failure);
    for (final Pending pending : batch) {
      if (unknown) {
        readBack(pending, failure.getMessage());
      } else {
        answer(pending, SubmitOutcome.NOT_ACCEPTED, failure.getMessage());
      }
    }
  }

  private void readBack(final Pending pending, final String reason) {
    store
        .get(pending.key())
        .whenCompleteAsync(
            logged(
                (item, failure) -> {
                  if (failure == null && item.isPresent()) {
                    answer(pending, SubmitOutcome.ACCEPTED, "found after a lost answer");
                  } else {
                    answer(pending, SubmitOutcome.UNKNOWN, reason);
                  }
                }),
            executor);
  }

  private void answer(final Pending pending, final SubmitOutcome outcome, final String reason) {
    log.log(
        "job-submitted",
        "job",
        pending.job().spec().id(),
        "queue",
        pending.job().queue(),
        "outcome",
        outcome,
        "reason",
        reason);
    pending.outcome().complete(outcome);
  }

  /** Tells whether a failed commit may have been made or may still be made. */
  static boolean isOutcomeUnknown(final Throwable failure) {
    final Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    final LentilsailException known =
        failure instanceof LentilsailException direct
            ? direct
            : cause instanceof LentilsailException wrapped ? wrapped : null;
    return known == null || known.code() != ErrorCode.PLATFORM_UNAVAILABLE;
  }
}
