package org.lentilsail.policy.job;

/** Checks the availability budget of long-running tasks before one of them is stopped. */
public final class AvailabilityBudget {
  /** Time in ns from the confirmed start until a task counts as available again. */
  private static final long SETTLE_NANOS = 1_500_000_000L;

  private AvailabilityBudget() {}

  /**
   * Returns whether a run may be stopped by a command.
   *
   * @param run a run of a long-running task
   * @param now monotonic time in ns
   * @return whether the number of other unavailable tasks of its step is below the budget, or the
   *     step has no budget
   */
  public static boolean mayStop(final TaskRun run, final long now) {
    final StepRun step = run.task().step();
    final int allowed = step.spec().mayMiss();
    if (allowed <= 0) {
      return true;
    }
    int othersUnavailable = 0;
    for (final Task task : step.tasks()) {
      if (task != run.task() && !isAvailable(task, now)) {
        othersUnavailable++;
      }
    }
    return othersUnavailable < allowed;
  }

  private static boolean isAvailable(final Task task, final long now) {
    for (final TaskRun run : task.runs()) {
      if (run.phase() == RunPhase.RUNNING
          && run.cpuLimitPercent() == 100
          && run.worker().isResponding()
          && run.confirmedAt() != Long.MAX_VALUE
          && now - run.confirmedAt() >= SETTLE_NANOS) {
        return true;
      }
    }
    return false;
  }
}
