package org.lentilsail.measure.waiting;

/** Brings jobs to workers. */
interface DispatchStrategy {
  /**
   * A job arrives at its entry daemon.
   *
   * @param job the job
   */
  void arrive(Job job);

  /**
   * The caller of a job leaves; the job is already marked as over.
   *
   * @param job the job
   */
  void cancel(Job job);
}
