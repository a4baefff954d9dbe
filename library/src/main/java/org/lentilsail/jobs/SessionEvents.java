package org.lentilsail.jobs;

import org.lentilsail.policy.job.WorkerState;

/** What the control loop does for its sessions. */
interface SessionEvents {
  /** Tells whether this daemon surely holds control. */
  boolean isSure();

  /** Tells whether leases should be as long as possible, because renewals may fail soon. */
  boolean isStoreDoubtful();

  /** Hears that a worker has seen a newer token. */
  void fenced();

  /** Hears that state has changed and work may be placed. */
  void changed();

  /** Hears that the runs of the worker are known or have surely ended. */
  void resolved(WorkerState worker);

  /** Hears that the worker has ended. */
  void gone(WorkerState worker);

  /** Runs an action when all progress until now is kept. */
  void whenKept(Runnable action);
}
