package org.lentilsail.jobs;

import org.lentilsail.policy.job.DropEvidence;
import org.lentilsail.policy.job.WorkerState;

/** Callbacks of a worker session to job control. */
interface SessionCallbacks {
  /** Returns whether this daemon is the leader and its lease is known to be valid. */
  boolean isLeader();

  /**
   * Returns whether worker leases should be as long as possible, because renewals may fail soon.
   */
  boolean isStoreUnreliable();

  /**
   * Returns the time in ns for which the store has not confirmed the leadership of this daemon;
   * another daemon may have claimed it at any moment since.
   */
  long unconfirmedNanos();

  /** Called when a worker has seen a newer fencing token. */
  void fenced();

  /** Called when the state has changed and tasks may be placed. */
  void stateChanged();

  /** Called when the runs of a worker are known, or are known to have ended. */
  void workerResolved(WorkerState worker, DropEvidence evidence);

  /** Called when a worker has responded and some of its runs are still not known. */
  void workerPartlyKnown(WorkerState worker);

  /** Called when another worker has responded at the address of a worker. */
  void workerGone(WorkerState worker, DropEvidence evidence);

  /** Runs an action once all progress up to now is persisted. */
  void whenPersisted(Runnable action);
}
