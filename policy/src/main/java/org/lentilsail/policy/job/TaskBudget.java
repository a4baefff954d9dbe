package org.lentilsail.policy.job;

/**
 * Limits the tasks that the leader holds in memory, of all started occurrences of all jobs. Work
 * beyond the limit starts when other work is done. Confined to the control thread.
 */
final class TaskBudget {
  /** Maximum number of tasks, which bounds the memory that they take. */
  static final int MAX_TASKS = 100_000;

  private long tasks;

  /** Returns whether a number of tasks can be added now. */
  boolean hasRoom(final long count) {
    return tasks + count <= MAX_TASKS;
  }

  void add(final long count) {
    tasks += count;
  }

  void subtract(final long count) {
    tasks -= count;
  }
}
