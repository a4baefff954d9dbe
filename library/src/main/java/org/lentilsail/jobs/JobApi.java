package org.lentilsail.jobs;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.lentilsail.log.DecisionLog;
import org.lentilsail.model.job.JobProgress;
import org.lentilsail.model.job.JobState;
import org.lentilsail.model.job.SubmittedJob;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.policy.access.Caller;
import org.lentilsail.store.KeyValueStore;
import org.lentilsail.store.StoredItem;
import org.lentilsail.store.Transaction;

/**
 * Operations that callers can perform on jobs, identical on every daemon: submit, query the state,
 * cancel, and count the waiting jobs of a queue. Methods may be called from any thread; futures
 * complete on the control thread.
 */
public final class JobApi {
  /** Maximum number of entries in each cache; evicted ones are read from the store again. */
  private static final int MAX_CACHE_SIZE = 4_000;

  /** Maximum age in ns of cached waiting counts. */
  private static final long MAX_WAITING_AGE_NANOS = 400_000_000L;

  /** Timestamp in ns that lies before any monotonic time and does not overflow in differences. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final KeyValueStore store;
  private final Executor executor;
  private final DecisionLog log;
  private final TimeSource time;
  private final StoreAvailability availability;
  private final SubmissionWriter submissionWriter;
  private final Map<String, KnownState> finalStates = boundedCache();

  /** Organisations of jobs whose final state is not known, by their ids. */
  private final Map<String, String> knownJobs = boundedCache();

  private Map<String, Integer> waiting = Map.of();
  private long waitingCountsReadAt = NEVER;

  /**
   * The state of a job.
   *
   * @param state the state
   * @param organisation organisation of the job, empty for none
   */
  private record KnownState(JobState state, String organisation) {}

  /**
   * Creates the API.
   *
   * @param store the key-value store
   * @param executor the control thread
   * @param log decision log
   * @param time clock
   * @param availability whether the store serves this daemon
   */
  public JobApi(
      final KeyValueStore store,
      final Executor executor,
      final DecisionLog log,
      final TimeSource time,
      final StoreAvailability availability) {
    this.store = store;
    this.executor = executor;
    this.log = log;
    this.time = time;
    this.availability = availability;
    this.submissionWriter =
        new SubmissionWriter(store, executor, log, availability, knownJobs::put);
  }

  /**
   * Submits a job.
   *
   * @param job the job
   * @return the outcome to report to the caller; never completes exceptionally
   */
  public CompletableFuture<SubmitOutcome> submit(final SubmittedJob job) {
    return submissionWriter.submit(job);
  }

  /**
   * Reads the state of a job.
   *
   * @param id id of the job
   * @param caller who asks
   * @return the state, empty if there is no such job or the caller may not see it; completes
   *     exceptionally if the store does not respond
   */
  public CompletableFuture<Optional<JobState>> state(final String id, final Caller caller) {
    return knownState(id)
        .thenApply(
            known -> known.filter(job -> caller.sees(job.organisation())).map(KnownState::state));
  }

  private CompletableFuture<Optional<KnownState>> knownState(final String id) {
    return CompletableFuture.supplyAsync(() -> finalStates.get(id), executor)
        .thenCompose(
            cached ->
                cached != null
                    ? CompletableFuture.completedFuture(Optional.of(cached))
                    : readState(id));
  }

  /**
   * Cancels a job.
   *
   * @param id id of the job
   * @param caller who cancels
   * @return ACCEPTED, NOT_FOUND, NOT_ACCEPTED or UNKNOWN; never completes exceptionally
   */
  public CompletableFuture<SubmitOutcome> cancel(final String id, final Caller caller) {
    return store
        .range(StoreKeys.INPUT + id + '/', "")
        .thenComposeAsync(
            page -> {
              availability.recordSuccess();
              return cancelStored(id, caller, page.items());
            },
            executor)
        .exceptionally(failure -> SubmitOutcome.NOT_ACCEPTED)
        .thenApply(
            outcome -> {
              log.log("job-cancel", "job", id, "outcome", outcome);
              return outcome;
            });
  }

  /**
   * Counts the accepted jobs of a queue of which no task has started.
   *
   * @param queue name of the queue
   * @return the number; completes exceptionally if the store does not respond
   */
  public CompletableFuture<Integer> waiting(final String queue) {
    return CompletableFuture.supplyAsync(
            () -> time.nanos() - waitingCountsReadAt < MAX_WAITING_AGE_NANOS ? waiting : null,
            executor)
        .thenCompose(
            cachedCounts ->
                cachedCounts != null
                    ? CompletableFuture.completedFuture(cachedCounts)
                    : readWaiting())
        .thenApply(counts -> counts.getOrDefault(queue, 0));
  }

  private CompletableFuture<Map<String, Integer>> readWaiting() {
    final long sentAt = time.nanos();
    return store
        .get(StoreKeys.WAITING)
        .thenApplyAsync(
            item -> {
              availability.recordSuccess();
              waiting =
                  item.flatMap(
                          storedItem ->
                              Documents.<WaitingDocument>read(Documents.WAITING, storedItem))
                      .map(WaitingDocument::jobs)
                      .orElse(Map.of());
              waitingCountsReadAt = sentAt;
              return waiting;
            },
            executor);
  }

  private CompletableFuture<Optional<KnownState>> readState(final String id) {
    return store
        .get(StoreKeys.progress(id))
        .thenComposeAsync(
            item -> {
              availability.recordSuccess();
              final Optional<JobProgress> progress =
                  item.flatMap(
                      storedItem -> Documents.<JobProgress>read(Documents.PROGRESS, storedItem));
              if (progress.isPresent()) {
                return CompletableFuture.completedFuture(
                    Optional.of(
                        cacheIfFinal(
                            id,
                            new KnownState(
                                progress.get().state(), progress.get().organisation()))));
              }
              final String organisation = knownJobs.get(id);
              return organisation == null
                  ? readExistence(id)
                  : CompletableFuture.completedFuture(
                      Optional.of(new KnownState(JobState.PENDING, organisation)));
            },
            executor);
  }

  private KnownState cacheIfFinal(final String id, final KnownState state) {
    if (state.state().isFinal()) {
      finalStates.put(id, state);
      knownJobs.remove(id);
    }
    return state;
  }

  private CompletableFuture<Optional<KnownState>> readExistence(final String id) {
    return store
        .get(StoreKeys.submission(id))
        .thenApplyAsync(
            item -> {
              if (item.isEmpty()) {
                return Optional.empty();
              }
              final String organisation = Documents.organisation(item.get());
              knownJobs.put(id, organisation);
              return Optional.of(new KnownState(JobState.PENDING, organisation));
            },
            executor);
  }

  private static boolean isVisible(
      final String id, final Collection<StoredItem> items, final Caller caller) {
    return items.stream()
        .filter(item -> item.key().equals(StoreKeys.submission(id)))
        .allMatch(item -> caller.sees(Documents.organisation(item)));
  }

  private CompletableFuture<SubmitOutcome> cancelStored(
      final String id, final Caller caller, final List<StoredItem> items) {
    final Set<String> keys = keys(items);
    final boolean submitted = keys.contains(StoreKeys.submission(id));
    if (!isVisible(id, items, caller)) {
      return CompletableFuture.completedFuture(SubmitOutcome.NOT_FOUND);
    }
    if (keys.contains(StoreKeys.cancellation(id))) {
      return CompletableFuture.completedFuture(
          submitted ? SubmitOutcome.ACCEPTED : SubmitOutcome.NOT_FOUND);
    }
    return submitted ? cancelSubmitted(id) : cancelUnknown(id, caller);
  }

  /**
   * Makes sure that a job that the store does not have is never accepted: the write of a submission
   * whose outcome is unknown may still be on its way, and it requires that there is no
   * cancellation.
   */
  private CompletableFuture<SubmitOutcome> cancelUnknown(final String id, final Caller caller) {
    final String key = StoreKeys.cancellation(id);
    return store
        .commit(
            Transaction.empty()
                .requireRevision(StoreKeys.submission(id), 0)
                .requireRevision(key, 0)
                .write(key, Documents.write(time.wallMillis()), 0))
        .handleAsync(
            (result, failure) -> {
              if (failure != null) {
                return CompletableFuture.completedFuture(failedCancelOutcome(failure));
              }
              if (result.applied()) {
                return CompletableFuture.completedFuture(SubmitOutcome.NOT_FOUND);
              }
              return result.currentItems().isEmpty()
                  ? CompletableFuture.completedFuture(SubmitOutcome.UNKNOWN)
                  : cancelStored(id, caller, result.currentItems());
            },
            executor)
        .thenCompose(outcome -> outcome);
  }

  private CompletableFuture<SubmitOutcome> cancelSubmitted(final String id) {
    final String key = StoreKeys.cancellation(id);
    return store
        .commit(
            Transaction.empty()
                .requireRevision(key, 0)
                .write(key, Documents.write(time.wallMillis()), 0))
        .handle(
            (result, failure) ->
                failure == null ? SubmitOutcome.ACCEPTED : failedCancelOutcome(failure));
  }

  private static SubmitOutcome failedCancelOutcome(final Throwable failure) {
    return SubmissionWriter.isOutcomeUnknown(failure)
        ? SubmitOutcome.UNKNOWN
        : SubmitOutcome.NOT_ACCEPTED;
  }

  private static Set<String> keys(final Iterable<StoredItem> items) {
    final Set<String> keys = new HashSet<>();
    items.forEach(item -> keys.add(item.key()));
    return keys;
  }

  private static <T> Map<String, T> boundedCache() {
    return new LinkedHashMap<>() {
      @Override
      protected boolean removeEldestEntry(final Map.Entry<String, T> eldest) {
        return size() > MAX_CACHE_SIZE;
      }
    };
  }
}
