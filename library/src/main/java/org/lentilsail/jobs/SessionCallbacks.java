package org.lentilsail.jobs;

import org.lentilsail.policy.job.WorkerState;

/** What the control loop does for its sessions. */
interface SessionCallbacks {
  /** Tells whether this daemon surely holds control. */
  boolean isLeader();

  /** Tells whether leases should be as long as possible, because renewals may fail soon. */
  boolean isStoreUnreliable();

  /** Hears that a worker has seen a newer token. */
  void fenced();

  /** Hears that state has changed and work may be placed. */
  void stateChanged();

  /** Hears that the runs of the worker are known or have surely ended. */
  void workerResolved(WorkerState worker);

  /** Hears that the worker has ended. */
  void workerGone(WorkerState worker);

  /** Runs an action when all progress until now is kept. */
  void whenPersisted(Runnable action);
}
