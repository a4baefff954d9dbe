package org.lentilsail.policy.job;

import java.util.Comparator;

/**
 * Orders the steps that wait for workers. Tasks that last come first, because they must be back
 * within seconds; then queues by priority; then jobs that can still meet their objective, the one
 * with the least work left first, so that a peak delays as few jobs as possible; then late jobs in
 * the same order.
 */
final class StepPriority {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Position of a step.
   *
   * @param step the step
   * @param lasting 0 for tasks that last, 1 for tasks that fill beside them, 2 for others
   * @param priority priority of the queue, 0 comes first
   * @param late 1 when the objective can no longer be met
   * @param workLeft estimated work left in core-milliseconds
   * @param arrivedAt monotonic time in ns of the arrival
   */
  record Rank(
      StepRun step, int taskClass, int priority, int late, double remainingWork, long arrivedAt) {}

  /** Compares positions. */
  static final Comparator<Rank> COMPARATOR =
      Comparator.comparingInt(Rank::taskClass)
          .thenComparingInt(Rank::priority)
          .thenComparingInt(Rank::late)
          .thenComparingDouble(Rank::remainingWork)
          .thenComparingLong(Rank::arrivedAt)
          .thenComparingInt(rank -> rank.step().number());

  private StepPriority() {}

  static Rank rank(final StepRun step, final long now) {
    final JobRun job = step.job();
    final boolean lasting = step.spec().longRunning();
    final long expectedEnd = now + job.remainingCriticalPathMillis() * NANOS_PER_MILLI;
    return new Rank(
        step,
        lasting ? (step.spec().fills() ? 1 : 0) : 2,
        job.queue().priority(),
        !lasting && expectedEnd > job.objectiveDeadline() ? 1 : 0,
        lasting ? 0 : job.remainingWork(),
        job.arrivedAt());
  }
}
