package org.lentilsail.jobs;

import static org.lentilsail.store.Callbacks.logged;

import org.lentilsail.policy.job.AdvicePlanner;
import org.lentilsail.policy.job.StepRun;
import org.lentilsail.policy.job.WorkerState;
import org.lentilsail.worker.Advice;

/**
 * Asks the advice service for permits, one question at a time, since it answers the questions of
 * one daemon in turn. Owned by the control thread.
 */
final class AdviceRunner {
  /** Pause in ns after a question without an answer. */
  private static final long RETRY_NANOS = 300_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlContext parts;
  private final AdvicePlanner planner;
  private final Runnable changed;
  private boolean asking;
  private long retryAt = Long.MIN_VALUE / 2;

  AdviceRunner(final ControlContext parts, final AdvicePlanner planner, final Runnable changed) {
    this.parts = parts;
    this.planner = planner;
    this.changed = changed;
  }

  /** Asks the next question, if there is one and none is on its way. */
  void ask(final long now) {
    if (!asking && now >= retryAt) {
      planner.next(now).ifPresent(question -> send(question, now));
    }
  }

  private void send(final AdvicePlanner.Question question, final long now) {
    asking = true;
    parts
        .advice()
        .ask(question.step().name(), question.workers().stream().map(WorkerState::id).toList())
        .whenCompleteAsync(
            logged(
                (advice, failure) -> {
                  asking = false;
                  if (failure == null) {
                    answered(question, advice, now);
                  } else {
                    failed(question.step(), failure);
                  }
                  changed.run();
                }),
            parts.executor());
  }

  /** The time of the permits may have begun when the question was sent. */
  private void answered(
      final AdvicePlanner.Question question, final Advice advice, final long sentAt) {
    question
        .step()
        .permits()
        .recordAnswer(
            question.workers(), advice.permits(), sentAt + advice.validMillis() * NANOS_PER_MILLI);
    parts.log().log(
        "advice",
        "step",
        question.step().name(),
        "asked",
        question.workers().size(),
        "good",
        advice.permits().size(),
        "tookMs",
        (parts.time().nanos() - sentAt) / NANOS_PER_MILLI);
  }

  private void failed(final StepRun step, final Throwable failure) {
    retryAt = parts.time().nanos() + RETRY_NANOS;
    parts.log().log("advice-failed", "step", step.name(), "reason", failure.getMessage());
  }
}
