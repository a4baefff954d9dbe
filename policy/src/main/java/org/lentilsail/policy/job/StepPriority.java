package org.lentilsail.policy.job;

import java.util.Comparator;

/**
 * Defines the scheduling order of steps that wait for workers. Long-running tasks come first,
 * because they must be available again within seconds; then queues by priority; then jobs that can
 * still meet their latency objective, those within the weight of their organisation before those in
 * excess of it; then late jobs. Within each of these classes the job with the least remaining work
 * comes first, so that a peak delays as few jobs as possible.
 */
final class StepPriority {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int ON_TIME = 0;
  private static final int ON_TIME_IN_EXCESS = 1;
  private static final int LATE = 2;

  /**
   * Sort key of a step.
   *
   * @param step the step
   * @param taskClass 0 for long-running tasks, 1 for long-running best-effort tasks, 2 for batch
   *     tasks
   * @param priority priority of the queue, 0 is the highest
   * @param lateness 0 if the latency objective can be met, 1 if it can and the job is in excess, 2
   *     if it can no longer be met
   * @param remainingWork estimated remaining work in core-milliseconds
   * @param arrivedAt monotonic time in ns at which the job was accepted
   */
  record Rank(
      StepRun step,
      int taskClass,
      int priority,
      int lateness,
      double remainingWork,
      long arrivedAt) {}

  /** Sorts the most urgent step first. */
  static final Comparator<Rank> COMPARATOR = StepPriority::compare;

  private StepPriority() {}

  /**
   * What all steps of a job have in common.
   *
   * @param lateness 0 if the latency objective can be met, 1 if it can and the job is in excess, 2
   *     if it can no longer be met
   * @param remainingWork estimated remaining work in core-milliseconds
   */
  record JobRank(int lateness, double remainingWork) {}

  /**
   * Returns the part of the sort key that all steps of a job have in common.
   *
   * @param job the job
   * @param inExcess whether it was submitted beyond the weight of its organisation
   * @param now monotonic time in ns
   */
  static JobRank rank(final JobRun job, final boolean inExcess, final long now) {
    return new JobRank(lateness(job, inExcess, now), job.remainingWork());
  }

  /**
   * Returns the sort key of a step.
   *
   * @param step the step
   * @param jobRank what it has in common with the other steps of its job
   */
  static Rank rank(final StepRun step, final JobRank jobRank) {
    final JobRun job = step.job();
    final boolean longRunning = step.spec().longRunning();
    return new Rank(
        step,
        longRunning ? (step.spec().fills() ? 1 : 0) : 2,
        job.queue().priority(),
        longRunning ? ON_TIME : jobRank.lateness(),
        longRunning ? 0 : jobRank.remainingWork(),
        job.arrivedAt());
  }

  /**
   * Compares what precedes the fair share between organisations. Chained comparators took several
   * times as long, in a pass that sorts hundreds of steps.
   */
  static int compareClass(final Rank a, final Rank b) {
    if (a.taskClass != b.taskClass) {
      return Integer.compare(a.taskClass, b.taskClass);
    }
    return a.priority != b.priority
        ? Integer.compare(a.priority, b.priority)
        : Integer.compare(a.lateness, b.lateness);
  }

  private static int compare(final Rank a, final Rank b) {
    int order = compareClass(a, b);
    if (order == 0) {
      order = Double.compare(a.remainingWork, b.remainingWork);
    }
    if (order == 0) {
      order = Long.compare(a.arrivedAt, b.arrivedAt);
    }
    return order == 0 ? Integer.compare(a.step.number(), b.step.number()) : order;
  }

  private static int lateness(final JobRun job, final boolean inExcess, final long now) {
    final long expectedEnd = now + job.remainingCriticalPathMillis() * NANOS_PER_MILLI;
    if (expectedEnd > job.objectiveDeadline()) {
      return LATE;
    }
    return inExcess ? ON_TIME_IN_EXCESS : ON_TIME;
  }
}
