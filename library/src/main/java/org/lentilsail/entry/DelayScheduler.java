package org.lentilsail.entry;

/** Schedules delayed tasks without a dedicated thread. */
@FunctionalInterface
public interface DelayScheduler {
  /**
   * Schedules a task.
   *
   * @param millis delay in ms
   * @param task the task
   * @return cancels the task when run
   */
  Runnable schedule(long millis, Runnable task);
}
