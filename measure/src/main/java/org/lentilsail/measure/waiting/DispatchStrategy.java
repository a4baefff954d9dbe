package org.lentilsail.measure.waiting;

/** Assigns jobs to workers. */
interface DispatchStrategy {
  /**
   * Handles the arrival of a job at its entry daemon.
   *
   * @param job the job
   */
  void arrive(Job job);

  /**
   * Handles the cancellation of a job by its caller; the job is already marked as finished.
   *
   * @param job the job
   */
  void cancel(Job job);
}
