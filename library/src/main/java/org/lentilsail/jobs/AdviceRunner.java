package org.lentilsail.jobs;

import static org.lentilsail.concurrent.Callbacks.logged;

import org.lentilsail.policy.job.AdvicePlanner;
import org.lentilsail.policy.job.StepRun;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.worker.Advice;

/**
 * Requests permits from the advice service. Sends one request at a time, because the service
 * processes the requests of a daemon sequentially. Confined to the control thread.
 */
final class AdviceRunner {
  /** Delay in ns before the next request after a failed one. */
  private static final long RETRY_DELAY_NANOS = 300_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlContext context;
  private final AdvicePlanner planner;
  private final Runnable stateChanged;
  private boolean requestInFlight;

  /**
   * Monotonic time in ns of the next attempt. The initial value lies before any monotonic time and
   * does not overflow in differences.
   */
  private long retryAt = Long.MIN_VALUE / 2;

  AdviceRunner(
      final ControlContext context, final AdvicePlanner planner, final Runnable stateChanged) {
    this.context = context;
    this.planner = planner;
    this.stateChanged = stateChanged;
  }

  /** Sends the next request, unless one is in flight or no step needs permits. */
  void ask(final long now) {
    if (!requestInFlight && now >= retryAt) {
      planner.next(now).ifPresent(request -> send(request, now));
    }
  }

  private void send(final AdvicePlanner.AdviceRequest request, final long now) {
    requestInFlight = true;
    context
        .advice()
        .ask(request.step().name(), request.workers().stream().map(WorkerState::id).toList())
        .whenCompleteAsync(
            logged(
                (advice, failure) -> {
                  requestInFlight = false;
                  if (failure == null) {
                    handleAdvice(request, advice, now);
                  } else {
                    handleFailure(request.step(), failure);
                  }
                  stateChanged.run();
                }),
            context.executor());
  }

  /**
   * Records the permits. Their validity is counted from the time at which the request was sent,
   * since the service may have started it as early as that.
   */
  private void handleAdvice(
      final AdvicePlanner.AdviceRequest request, final Advice advice, final long sentAt) {
    request
        .step()
        .permits()
        .recordAnswer(
            request.workers(), advice.permits(), sentAt + advice.validMillis() * NANOS_PER_MILLI);
    context.log().log(
        "advice",
        "step",
        request.step().name(),
        "asked",
        request.workers().size(),
        "good",
        advice.permits().size(),
        "tookMs",
        (context.time().nanos() - sentAt) / NANOS_PER_MILLI);
  }

  private void handleFailure(final StepRun step, final Throwable failure) {
    retryAt = context.time().nanos() + RETRY_DELAY_NANOS;
    context.log().log("advice-failed", "step", step.name(), "reason", failure.getMessage());
  }
}
