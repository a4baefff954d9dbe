package org.lentilsail.policy.job;

import java.util.Locale;

/** Why the leader takes a run for ended, or a task for free, without having read the run's end. */
public enum DropReason {
  /** The lease of a worker that the leader has not polled has expired. */
  GATE_EXPIRED,
  /** The first complete report of a worker lacks a task that it may have been assigned. */
  GATE_REPORTED,
  /** The list of machines shows that an unresponsive worker has ended. */
  MACHINE_LIST,
  /** The lease of an unresponsive worker has expired. */
  LEASE_EXPIRED,
  /** Another worker has answered at the address of the worker. */
  WORKER_GONE,
  /** The registry entry shows a later start of the worker. */
  RESTART_REGISTERED,
  /** A report shows a later start of the worker. */
  RESTART_REPORTED,
  /** A complete report of the worker lacks the run. */
  NOT_REPORTED,
  /** A complete report lacks the run, whose start has expired without an answer. */
  START_EXPIRED,
  /** The worker has rejected the start. */
  START_REJECTED,
  /** The start was not sent. */
  START_NOT_SENT,
  /** A move or maintenance of the machine was confirmed. */
  MACHINE_COMMAND,
  /** The worker has no registry entry and no known runs. */
  REMOVED_FROM_ROSTER;

  /**
   * Returns whether the run never began, which changes nothing that is believed of a worker.
   *
   * @return whether the start had no effect
   */
  public boolean isFailedStart() {
    return this == START_REJECTED || this == START_NOT_SENT;
  }

  /**
   * Returns the name in logs and metrics.
   *
   * @return the name in lower case with hyphens
   */
  public String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
