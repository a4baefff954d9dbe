package org.lentilsail.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.lentilsail.config.ConfigurationSnapshot;
import org.lentilsail.dispatch.Slot;
import org.lentilsail.dispatch.SlotRequirements;
import org.lentilsail.dispatch.SlotResult;
import org.lentilsail.http.HttpCall;
import org.lentilsail.http.HttpResponse;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;

/** Runs one request in up to {@link #MAX_ATTEMPTS} attempts, one after the other. */
final class RequestExecution {
  /**
   * Maximum number of workers that are tried; after failures on 3 workers, the request itself is
   * the likely cause.
   */
  private static final int MAX_ATTEMPTS = 3;

  /** Maximum size in bytes of a response body. */
  private static final int RESPONSE_LIMIT_BYTES = 8 * 1024 * 1024;

  /** Dependencies that all requests share. */
  private final RequestExecutor executor;

  private final EntryRequest request;

  /** Completed with the response. */
  private final CompletableFuture<EntryResponse> result = new CompletableFuture<>();

  /** VMs on which an attempt has failed. */
  private final Set<String> failedVms = new HashSet<>();

  /** Operation in progress; cancelled with the request. */
  private volatile CompletableFuture<?> pendingOperation = CompletableFuture.completedFuture(null);

  /** Whether {@link #pendingOperation} waits for a slot. */
  private volatile boolean queued;

  /** Number of attempts so far. */
  private int attempts;

  /** Whether an earlier attempt may have run without a response. */
  private boolean mayHaveRun;

  RequestExecution(final RequestExecutor executor, final EntryRequest request) {
    this.executor = executor;
    this.request = request;
  }

  CompletableFuture<EntryResponse> result() {
    return result;
  }

  void start() {
    executor.retryBudget(request.service()).recordRequest();
    final Runnable timer = executor.scheduler().schedule(remainingMillis() + 1, this::expire);
    result.whenComplete(
        (response, error) -> {
          timer.run();
          pendingOperation.cancel(true);
        });
    acquire();
  }

  private void acquire() {
    attempts++;
    final SlotRequirements requirements =
        new SlotRequirements(
            request.service(),
            request.pathWithoutQuery(),
            request.team(),
            request.urgent(),
            request.expectedMillis(),
            request.deadlineNanos(),
            failedVms);
    queued = true;
    final CompletableFuture<Slot> slot = executor.slots().acquire(requirements);
    waitFor(slot);
    slot.whenComplete(this::onSlot);
  }

  private void waitFor(final CompletableFuture<?> next) {
    pendingOperation = next;
    if (result.isDone()) {
      next.cancel(true);
    }
  }

  /** Cancels the slot request at the deadline in case the slot source does not reply. */
  private void expire() {
    if (queued) {
      pendingOperation.cancel(true);
    }
  }

  private void onSlot(final Slot slot, final Throwable error) {
    queued = false;
    if (error != null) {
      completeWithError(AttemptStatus.NO_SLOT, slotError(AttemptResult.unwrap(error)));
    } else if (result.isDone()) {
      slot.release(SlotResult.CANCELLED, 0);
    } else {
      send(slot);
    }
  }

  private static Throwable slotError(final Throwable error) {
    return error instanceof LentilsailException
        ? error
        : new LentilsailException(
            ErrorCode.OVERLOADED,
            "no worker became free before the deadline",
            "repeat the request later or allow it more time");
  }

  private void send(final Slot slot) {
    executor.inFlight().begin(slot.vm());
    final ConfigurationSnapshot snapshot = executor.configuration().current();
    final VmEntry entry = snapshot.fleet().vms().get(slot.vm());
    if (!acceptsRequests(entry)) {
      executor.inFlight().end(slot.vm(), false);
      slot.release(SlotResult.REFUSED, 0);
      onAttemptFailed(
          slot, new AttemptResult(AttemptStatus.NOT_SENT, SlotResult.REFUSED, outOfService(slot)));
      return;
    }
    final long startNanos = executor.time().nanos();
    final CompletableFuture<HttpResponse> call = executor.httpClient().call(call(slot, snapshot));
    waitFor(call);
    call.whenComplete((response, error) -> onResponse(slot, startNanos, response, error));
  }

  private static boolean acceptsRequests(final VmEntry entry) {
    return entry != null
        && (entry.phase() == VmPhase.IN_SERVICE || entry.phase() == VmPhase.VERIFYING);
  }

  private static LentilsailException outOfService(final Slot slot) {
    return new LentilsailException(
        ErrorCode.NO_WORKER, "VM " + slot.vm() + " went out of service", "repeat the request");
  }

  private HttpCall call(final Slot slot, final ConfigurationSnapshot snapshot) {
    final int colon = slot.address().lastIndexOf(':');
    final InetSocketAddress target =
        new InetSocketAddress(
            slot.address().substring(0, colon),
            Integer.parseInt(slot.address().substring(colon + 1)));
    final long serviceMillis =
        snapshot.records().services().containsKey(request.service())
            ? snapshot.records().services().get(request.service()).timeoutMillis()
            : Long.MAX_VALUE;
    return new HttpCall(
        target,
        request.method(),
        request.path(),
        request.fields(),
        request.body(),
        Duration.ofMillis(Math.max(1, Math.min(serviceMillis, remainingMillis()))),
        RESPONSE_LIMIT_BYTES);
  }

  private void onResponse(
      final Slot slot, final long startNanos, final HttpResponse response, final Throwable error) {
    final AttemptResult attempt =
        error == null ? AttemptResult.of(response) : AttemptResult.of(error);
    executor.inFlight().end(slot.vm(), attempt.slotResult() == SlotResult.OK && error == null);
    slot.release(
        attempt.slotResult(), TimeUnit.NANOSECONDS.toMillis(executor.time().nanos() - startNanos));
    if (attempt.status() == AttemptStatus.ANSWERED) {
      result.complete(
          new EntryResponse(
              Outcome.RAN,
              response.status(),
              HopByHopFields.endToEnd(response.fields()),
              response.body()));
    } else if (!result.isDone()) {
      onAttemptFailed(slot, attempt);
    }
  }

  private void onAttemptFailed(final Slot slot, final AttemptResult attempt) {
    failedVms.add(slot.vm());
    final long waitMillis =
        attempt.status() == AttemptStatus.PROVED_NOT_RUN
            ? 0
            : executor.backoff().wait(attempts - 1, ThreadLocalRandom.current()).toMillis();
    if (OutcomeRule.isRetrySafe(attempt.status(), request.isIdempotent())
        && attempts < MAX_ATTEMPTS
        && waitMillis < remainingMillis()
        && takeRetryFromBudget(attempt)) {
      mayHaveRun |= attempt.status() == AttemptStatus.LOST;
      executor.metrics().recordRetry(request.service());
      retryAfter(waitMillis);
    } else {
      completeWithError(attempt.status(), attempt.error());
    }
  }

  /**
   * Takes a retry from the retry budget. A retry after a rejection by a draining worker is free,
   * because a drain is no sign of overload.
   */
  private boolean takeRetryFromBudget(final AttemptResult attempt) {
    return attempt.status() == AttemptStatus.PROVED_NOT_RUN
        || executor.retryBudget(request.service()).takeRetry();
  }

  private void retryAfter(final long waitMillis) {
    if (waitMillis == 0) {
      acquire();
    } else {
      executor
          .scheduler()
          .schedule(
              waitMillis,
              () -> {
                if (!result.isDone()) {
                  acquire();
                }
              });
    }
  }

  private void completeWithError(final AttemptStatus status, final Throwable error) {
    final Outcome outcome = OutcomeRule.outcome(status, mayHaveRun);
    final EntryResponse response;
    if (status != AttemptStatus.LOST && outcome == Outcome.UNKNOWN) {
      response =
          ErrorResponses.of(
              ErrorCode.OUTCOME_UNKNOWN,
              "an attempt had no complete response and no further one was possible: "
                  + error.getMessage(),
              "find out whether the request ran before you repeat it",
              outcome);
    } else {
      response = ErrorResponses.of(error, outcome);
    }
    result.complete(response);
  }

  private long remainingMillis() {
    return TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - executor.time().nanos());
  }
}
