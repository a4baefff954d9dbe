package org.lentilsail.entry;

/** Runs tasks later without a thread of their own. */
@FunctionalInterface
public interface DelayScheduler {
  /**
   * Runs a task after a time.
   *
   * @param millis time in ms
   * @param task the task
   * @return cancels the task when run
   */
  Runnable schedule(long millis, Runnable task);
}
