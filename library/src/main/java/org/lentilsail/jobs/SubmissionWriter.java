package org.lentilsail.jobs;

import static org.lentilsail.concurrent.Callbacks.logged;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.job.SubmittedJob;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.StoredItem;
import org.lentilsail.store.Transaction;
import org.lentilsail.store.TransactionResult;

/**
 * Persists submitted jobs before they are confirmed to the caller. Jobs that arrive while
 * transactions are in flight share the next one. Each write requires that the item of the job does
 * not exist, so repeated submissions of an id, through any daemon, create a single job; and that no
 * cancellation of it exists, so one that is executed late creates none after a caller was told that
 * there is none. Confined to the control thread; {@link #submit} may be called from any thread.
 */
public final class SubmissionWriter {
  /** Maximum number of jobs in one transaction: two preconditions and a write for each. */
  private static final int MAX_BATCH_SIZE = Transaction.MAX_ENTRIES / 3;

  /** Maximum number of transactions in flight. */
  private static final int MAX_IN_FLIGHT = 4;

  private final KeyValueStore store;
  private final Executor executor;
  private final DecisionLog log;
  private final StoreAvailability availability;
  private final BiConsumer<String, String> accepted;
  private final Deque<PendingSubmission> queue = new ArrayDeque<>();
  private int transactionsInFlight;

  /**
   * A job that waits for its transaction.
   *
   * @param job the job
   * @param outcome completed with the outcome to report to the caller
   */
  private record PendingSubmission(SubmittedJob job, CompletableFuture<SubmitOutcome> outcome) {
    String key() {
      return StoreKeys.submission(job.spec().id());
    }

    String cancellationKey() {
      return StoreKeys.cancellation(job.spec().id());
    }
  }

  /**
   * Creates a writer without pending submissions.
   *
   * @param store the key-value store
   * @param executor the control thread
   * @param log decision log
   * @param availability whether the store serves this daemon
   * @param accepted is called with the id and the organisation of each job that the store has
   */
  public SubmissionWriter(
      final KeyValueStore store,
      final Executor executor,
      final DecisionLog log,
      final StoreAvailability availability,
      final BiConsumer<String, String> accepted) {
    this.store = store;
    this.executor = executor;
    this.log = log;
    this.availability = availability;
    this.accepted = accepted;
  }

  /**
   * Persists a job.
   *
   * @param job the job
   * @return the outcome to report to the caller; completes on the control thread and never
   *     exceptionally
   */
  public CompletableFuture<SubmitOutcome> submit(final SubmittedJob job) {
    final CompletableFuture<SubmitOutcome> outcome = new CompletableFuture<>();
    executor.execute(() -> enqueue(new PendingSubmission(job, outcome)));
    return outcome;
  }

  private void enqueue(final PendingSubmission pending) {
    if (!availability.allowsCall()) {
      complete(pending, SubmitOutcome.NOT_ACCEPTED, "the store does not answer");
      return;
    }
    queue.add(pending);
    sendBatches();
  }

  private void sendBatches() {
    while (transactionsInFlight < MAX_IN_FLIGHT && !queue.isEmpty()) {
      commit(takeBatch());
    }
  }

  private List<PendingSubmission> takeBatch() {
    final List<PendingSubmission> batch = new ArrayList<>();
    final List<PendingSubmission> later = new ArrayList<>();
    final Set<String> keys = new HashSet<>();
    while (batch.size() < MAX_BATCH_SIZE && !queue.isEmpty()) {
      final PendingSubmission next = queue.poll();
      if (keys.add(next.key())) {
        batch.add(next);
      } else {
        later.add(next);
      }
    }
    later.forEach(queue::addFirst);
    return batch;
  }

  private void commit(final List<PendingSubmission> batch) {
    transactionsInFlight++;
    Transaction transaction = Transaction.empty();
    for (final PendingSubmission pending : batch) {
      transaction =
          transaction
              .requireRevision(pending.key(), 0)
              .requireRevision(pending.cancellationKey(), 0)
              .write(pending.key(), Documents.write(pending.job()), 0);
    }
    store
        .commit(transaction)
        .whenCompleteAsync(
            logged(
                (result, failure) -> {
                  transactionsInFlight--;
                  if (failure == null) {
                    availability.recordSuccess();
                    handleResult(batch, result);
                  } else {
                    handleFailure(batch, failure);
                  }
                  sendBatches();
                }),
            executor);
  }

  private void handleResult(final List<PendingSubmission> batch, final TransactionResult result) {
    final Map<String, StoredItem> present = new HashMap<>();
    if (!result.applied()) {
      result.currentItems().forEach(item -> present.put(item.key(), item));
    }
    for (final PendingSubmission pending : batch) {
      if (result.applied()) {
        accepted.accept(pending.job().spec().id(), pending.job().organisation());
        complete(pending, SubmitOutcome.ACCEPTED, "stored at revision " + result.revision());
      } else if (present.containsKey(pending.key())) {
        completePresent(pending, present.get(pending.key()), "accepted before");
      } else if (present.containsKey(pending.cancellationKey())) {
        complete(pending, SubmitOutcome.NOT_FOUND, "cancelled before it was accepted");
      } else if (present.isEmpty()) {
        complete(
            pending,
            SubmitOutcome.UNKNOWN,
            "the store did not apply the transaction and named no failed precondition");
      } else {
        queue.addFirst(pending);
      }
    }
  }

  private void handleFailure(final List<PendingSubmission> batch, final Throwable failure) {
    availability.recordFailure();
    final boolean outcomeUnknown = isOutcomeUnknown(failure);
    for (final PendingSubmission pending : batch) {
      if (outcomeUnknown) {
        readBack(pending, failure.getMessage());
      } else {
        complete(pending, SubmitOutcome.NOT_ACCEPTED, failure.getMessage());
      }
    }
  }

  private void readBack(final PendingSubmission pending, final String reason) {
    store
        .get(pending.key())
        .whenCompleteAsync(
            logged(
                (item, failure) -> {
                  if (failure == null && item.isPresent()) {
                    completePresent(
                        pending, item.get(), "found in the store after an unconfirmed write");
                  } else {
                    complete(pending, SubmitOutcome.UNKNOWN, reason);
                  }
                }),
            executor);
  }

  /** Completes the submission of a job whose id the store has. */
  private void completePresent(
      final PendingSubmission pending, final StoredItem item, final String reason) {
    final String organisation = Documents.organisation(item);
    if (organisation.isEmpty() || organisation.equals(pending.job().organisation())) {
      accepted.accept(pending.job().spec().id(), organisation);
      complete(pending, SubmitOutcome.ACCEPTED, reason);
    } else {
      complete(pending, SubmitOutcome.CONFLICT, "the id belongs to another organisation");
    }
  }

  private void complete(
      final PendingSubmission pending, final SubmitOutcome outcome, final String reason) {
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

  /** Returns whether a failed transaction may have been applied or may still be applied. */
  static boolean isOutcomeUnknown(final Throwable failure) {
    final Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    final LentilsailException domainException =
        failure instanceof LentilsailException direct
            ? direct
            : cause instanceof LentilsailException wrapped ? wrapped : null;
    return domainException == null || domainException.code() != ErrorCode.PLATFORM_UNAVAILABLE;
  }
}
