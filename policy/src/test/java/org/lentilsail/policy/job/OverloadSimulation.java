package org.lentilsail.policy.job;

import static org.lentilsail.policy.job.JobFixture.BOOKING;
import static org.lentilsail.policy.job.JobFixture.MILLI;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.lentilsail.model.job.StepSpec;

/**
 * Plays submissions to one queue against the workers of its pool on a manual clock. It measures the
 * share of the value of the jobs that their callers get: all of it within the latency objective, a
 * small part within three times the objective, nothing later.
 */
final class OverloadSimulation {
  private static final long TICK_NANOS = 20 * MILLI;
  private static final double LATE_VALUE = 0.07;

  /**
   * A job that is submitted.
   *
   * @param at time in ns
   * @param organisation name of the organisation, empty for none
   * @param steps steps of the job
   */
  record Submission(long at, String organisation, List<StepSpec> steps) {
    double work() {
      return steps.stream()
          .mapToDouble(step -> (double) step.count() * step.estimateMillis())
          .sum();
    }
  }

  /** A submitted job and the time in ns at which it was done. */
  record Result(Submission submission, JobRun job, long doneAt) {
    double earned() {
      final long objective = job.objectiveDeadline() - submission.at();
      final long time = doneAt - submission.at();
      return time <= objective ? 1 : time <= 3 * objective ? LATE_VALUE : 0;
    }

    boolean inTime() {
      return doneAt <= job.objectiveDeadline();
    }
  }

  final JobFixture fixture = new JobFixture();
  private final List<TaskRun> running = new ArrayList<>();
  private final List<Result> results = new ArrayList<>();

  OverloadSimulation(final int workers) {
    for (int i = 0; i < workers; i++) {
      fixture.worker("w" + i, BOOKING);
    }
  }

  /** Submits the jobs at their times and runs until all are done. */
  List<Result> run(final List<Submission> submissions) {
    final List<Submission> due = new ArrayList<>(submissions);
    due.sort(Comparator.comparingLong(Submission::at));
    final List<Result> open = new ArrayList<>();
    int next = 0;
    for (long now = 0; results.size() < due.size(); now += TICK_NANOS) {
      endRuns(now);
      for (final Result result : List.copyOf(open)) {
        if (result.job().state().isFinal()) {
          open.remove(result);
          results.add(new Result(result.submission(), result.job(), now));
        }
      }
      for (; next < due.size() && due.get(next).at() <= now; next++) {
        final Submission submission = due.get(next);
        final JobRun job =
            fixture.submitFor(
                submission.organisation(),
                "holds",
                submission.at(),
                submission.steps().toArray(StepSpec[]::new));
        open.add(new Result(submission, job, 0));
      }
      fixture.place(now).forEach(start -> running.add(start.run()));
    }
    return results;
  }

  private void endRuns(final long now) {
    for (final TaskRun run : List.copyOf(running)) {
      if (now - run.createdAt() >= run.task().step().spec().estimateMillis() * MILLI) {
        running.remove(run);
        fixture.finish(run, RunOutcome.DONE, now);
      }
    }
  }

  /** Returns the share of the value of some jobs that their callers get. */
  static double valueShare(final List<Result> all, final Predicate<Result> selected) {
    final double mean = all.stream().mapToDouble(r -> r.submission().work()).average().orElse(1);
    final ToDoubleFunction<Result> value = r -> 0.3 + 0.7 * r.submission().work() / mean;
    final List<Result> some = all.stream().filter(selected).toList();
    return some.stream().mapToDouble(r -> value.applyAsDouble(r) * r.earned()).sum()
        / some.stream().mapToDouble(value).sum();
  }

  /** Returns the share of jobs that are done in time, in a range of sizes from 0 to 1. */
  static double inTimeBySize(final List<Result> all, final double from, final double to) {
    final List<Result> sorted =
        all.stream().sorted(Comparator.comparingDouble(r -> r.submission().work())).toList();
    final List<Result> range =
        sorted.subList((int) (from * sorted.size()), (int) (to * sorted.size()));
    return (double) range.stream().filter(Result::inTime).count() / range.size();
  }
}
