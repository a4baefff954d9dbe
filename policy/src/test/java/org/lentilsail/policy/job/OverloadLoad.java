package org.lentilsail.policy.job;

import static org.lentilsail.policy.job.JobFixture.SECOND;
import static org.lentilsail.policy.job.JobFixture.step;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.lentilsail.model.job.StepSpec;
import org.lentilsail.policy.job.OverloadSimulation.Submission;

/** Generates submissions at random times, with sizes of which a few are much larger than most. */
final class OverloadLoad {
  private static final int TASK_CPU_MILLIS = 8_000;

  private final List<Submission> submissions = new ArrayList<>();
  private final Random random;

  OverloadLoad(final long seed) {
    random = new Random(seed);
  }

  List<Submission> submissions() {
    return submissions;
  }

  /** Adds jobs of an organisation at a rate in jobs a second between two times in seconds. */
  OverloadLoad add(
      final String organisation, final double rate, final double from, final double to) {
    for (double at = from + gap(rate); at < to; at += gap(rate)) {
      submissions.add(new Submission((long) (at * SECOND), organisation, job()));
    }
    return this;
  }

  /** Adds one job of a single step at a time in seconds. */
  OverloadLoad add(final double at, final int tasks, final long millis) {
    submissions.add(
        new Submission((long) (at * SECOND), "", List.of(step(tasks, TASK_CPU_MILLIS, millis))));
    return this;
  }

  private double gap(final double rate) {
    return -Math.log(1 - random.nextDouble()) / rate;
  }

  /** Returns one or two steps; the number of tasks has a heavy tail, with a mean of about 3. */
  private List<StepSpec> job() {
    final int tasks = (int) Math.min(24, 1 / Math.pow(1 - random.nextDouble(), 0.7));
    final long millis = 150 + (long) (400 * -Math.log(1 - random.nextDouble()));
    final StepSpec first = step(tasks, TASK_CPU_MILLIS, millis);
    return random.nextBoolean()
        ? List.of(first)
        : List.of(first, step(1, TASK_CPU_MILLIS, millis / 2, 0));
  }
}
