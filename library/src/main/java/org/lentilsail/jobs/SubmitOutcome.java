package org.lentilsail.jobs;

/** Outcome of a submission or cancellation as reported to the caller. */
public enum SubmitOutcome {
  /** The request is persisted. */
  ACCEPTED,
  /** The request is not persisted and never will be. */
  NOT_ACCEPTED,
  /** The request may have been persisted; the caller should retry. */
  UNKNOWN,
  /**
   * There is no such job and none will come of earlier submissions, or the caller may not see it.
   * Of a submission: it was cancelled before it was accepted, and is not persisted.
   */
  NOT_FOUND,
  /** Another organisation has a job with this id; the submitted job is not persisted. */
  CONFLICT
}
