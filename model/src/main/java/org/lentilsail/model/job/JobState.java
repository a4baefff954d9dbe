package org.lentilsail.model.job;

/** Lists how far a job has come. */
public enum JobState {
  /** No task has started. */
  PENDING,
  /** Some task has started. */
  RUNNING,
  /** All tasks are done. */
  COMPLETED,
  /** A task has failed as often as the queue allows. */
  FAILED,
  /** The caller has cancelled the job. */
  CANCELLED;

  /**
   * Tells whether the state is the last one of the job.
   *
   * @return whether nothing of the job runs any more
   */
  public boolean isFinal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
