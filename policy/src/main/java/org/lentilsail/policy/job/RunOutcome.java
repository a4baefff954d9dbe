package org.lentilsail.policy.job;

/** Lists how a run of a task ends. */
public enum RunOutcome {
  /** The work is done. */
  DONE,
  /** The run has failed by its own fault or by the worker's. */
  FAILED,
  /** The run was stopped by an order. */
  STOPPED,
  /** The lease of the worker expired. */
  EXPIRED,
  /** Another member of the gang ended. */
  BROKEN,
  /** The other members of the gang did not come in time. */
  ALONE
}
