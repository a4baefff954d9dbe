package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds tasks for speculative execution: their step allows copies, and they have been running much
 * longer than the finished tasks of the step took. A copy on another worker avoids waiting for a
 * slow worker.
 */
public final class Speculation {
  /** Multiple of the mean task duration of the step after which a copy starts. */
  private static final double SLOW_FACTOR = 2.0;

  /** Minimum time in ns after which a copy starts. */
  private static final long MIN_NANOS = 500_000_000L;

  private Speculation() {}

  /**
   * Finds the tasks that should get a copy.
   *
   * @param step a step
   * @param now monotonic time in ns
   * @return the tasks, ordered by index
   */
  public static List<Task> find(final StepRun step, final long now) {
    final List<Task> slow = new ArrayList<>();
    if (!step.spec().speculative()
        || step.spec().gang()
        || step.spec().longRunning()
        || step.meanTaskNanos() <= 0) {
      return slow;
    }
    final long limit = Math.max(MIN_NANOS, (long) (step.meanTaskNanos() * SLOW_FACTOR));
    for (final Task task : step.tasks()) {
      if (!task.isDone() && task.runs().size() == 1) {
        final TaskRun run = task.runs().get(0);
        if (run.phase() == RunPhase.RUNNING && now - run.createdAt() > limit) {
          slow.add(task);
        }
      }
    }
    return slow;
  }
}
