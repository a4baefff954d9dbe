package org.lentilsail.policy.job;

/** Outcome of a run of a task. */
public enum RunOutcome {
  /** The work is done. */
  DONE,
  /** The run failed, because of its own error or because of its worker. */
  FAILED,
  /** The run was stopped by a command. */
  STOPPED,
  /** The lease of the worker expired. */
  EXPIRED,
  /** Another member of the gang ended. */
  BROKEN,
  /** The other members of the gang did not start in time. */
  ALONE
}
