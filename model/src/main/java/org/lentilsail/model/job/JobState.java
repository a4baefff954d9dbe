package org.lentilsail.model.job;

/** State of a job. */
public enum JobState {
  /** No task has started yet. */
  PENDING,
  /** At least one task has started. */
  RUNNING,
  /** All tasks are done. */
  COMPLETED,
  /** A task has failed as often as the queue allows. */
  FAILED,
  /** The job was cancelled by its caller. */
  CANCELLED;

  /**
   * Returns whether the state is final.
   *
   * @return whether the job has ended and starts no more runs
   */
  public boolean isFinal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
