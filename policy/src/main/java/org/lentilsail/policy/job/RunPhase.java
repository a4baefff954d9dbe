package org.lentilsail.policy.job;

/** Lists what is known of one run of a task. */
public enum RunPhase {
  /** The start has been decided and is not yet answered. */
  STARTING,
  /** The start was not answered; the run may begin until its start expires. */
  UNCONFIRMED,
  /** The worker runs it. */
  RUNNING,
  /** The worker has been told to stop it, and its end is not yet listed. */
  STOPPING
}
