package org.lentilsail.jobs;

/** Outcome of a submission or cancellation as reported to the caller. */
public enum SubmitOutcome {
  /** The request is persisted. */
  ACCEPTED,
  /** The request is not persisted and never will be. */
  NOT_ACCEPTED,
  /** The request may have been persisted; the caller should retry. */
  UNKNOWN,
  /** There is no such job, or the caller may not see it. */
  NOT_FOUND,
  /** Another organisation has a job with this id; the submitted job is not persisted. */
  CONFLICT
}
