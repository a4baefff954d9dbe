package org.lentilsail.policy.job;

/** Phase of a run of a task, as known to the leader. */
public enum RunPhase {
  /** The run is assigned; the start command is not answered yet. */
  STARTING,
  /** The start command was not answered; the run may begin until the command expires. */
  UNCONFIRMED,
  /** The worker has confirmed the run. */
  RUNNING,
  /** The run has to be stopped; the worker has not reported its end yet. */
  STOPPING
}
