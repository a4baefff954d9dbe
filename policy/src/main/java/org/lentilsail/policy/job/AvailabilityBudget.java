package org.lentilsail.policy.job;

/** Tells whether a task that lasts may be taken from its worker now. */
public final class AvailabilityBudget {
  /** Time in ns from the confirmed start until a task counts as at work again. */
  private static final long SETTLE_NANOS = 1_500_000_000L;

  private AvailabilityBudget() {}

  /**
   * Tells whether a run may be ended by an order.
   *
   * @param run a run of a task that lasts
   * @param now monotonic time in ns
   * @return whether few enough other tasks of its step are away
   */
  public static boolean mayStop(final TaskRun run, final long now) {
    final StepRun step = run.task().step();
    final int allowed = step.spec().mayMiss();
    if (allowed <= 0) {
      return true;
    }
    int othersAway = 0;
    for (final Task task : step.tasks()) {
      if (task != run.task() && !isAtWork(task, now)) {
        othersAway++;
      }
    }
    return othersAway < allowed;
  }

  private static boolean isAtWork(final Task task, final long now) {
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
