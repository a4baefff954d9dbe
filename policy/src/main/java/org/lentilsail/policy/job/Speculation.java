package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds tasks of which a second copy should run: their step allows it, and they have been running
 * much longer than the other tasks of the step took. A copy ends the wait for a slow worker.
 */
public final class Speculation {
  /** Times that the tasks of the step took, after which a copy starts. */
  private static final double SLOW_FACTOR = 2.0;

  /** Shortest time in ns after which a copy starts. */
  private static final long LEAST_NANOS = 500_000_000L;

  private Speculation() {}

  /**
   * Finds tasks for a second copy.
   *
   * @param step a step
   * @param now monotonic time in ns
   * @return the tasks, in the order of their numbers
   */
  public static List<Task> find(final StepRun step, final long now) {
    final List<Task> slow = new ArrayList<>();
    if (!step.spec().speculative() || step.spec().gang() || step.meanTaskNanos() <= 0) {
      return slow;
    }
    final long limit = Math.max(LEAST_NANOS, (long) (step.meanTaskNanos() * SLOW_FACTOR));
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
