package org.lentilsail.policy.job;

import java.util.Comparator;

/**
 * Defines the scheduling order of steps that wait for workers. Long-running tasks come first,
 * because they must be available again within seconds; then queues by priority; then jobs that can
 * still meet their latency objective, the one with the least remaining work first, so that a peak
 * delays as few jobs as possible; then late jobs in the same order.
 */
final class StepPriority {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Sort key of a step.
   *
   * @param step the step
   * @param taskClass 0 for long-running tasks, 1 for long-running best-effort tasks, 2 for batch
   *     tasks
   * @param priority priority of the queue, 0 is the highest
   * @param late 1 if the latency objective can no longer be met, otherwise 0
   * @param remainingWork estimated remaining work in core-milliseconds
   * @param arrivedAt monotonic time in ns at which the job was accepted
   */
  record Rank(
      StepRun step, int taskClass, int priority, int late, double remainingWork, long arrivedAt) {}

  /** Sorts the most urgent step first. */
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
    final boolean longRunning = step.spec().longRunning();
    final long expectedEnd = now + job.remainingCriticalPathMillis() * NANOS_PER_MILLI;
    return new Rank(
        step,
        longRunning ? (step.spec().fills() ? 1 : 0) : 2,
        job.queue().priority(),
        !longRunning && expectedEnd > job.objectiveDeadline() ? 1 : 0,
        longRunning ? 0 : job.remainingWork(),
        job.arrivedAt());
  }
}
