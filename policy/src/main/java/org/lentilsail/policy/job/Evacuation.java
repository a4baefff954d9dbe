package org.lentilsail.policy.job;

import java.util.List;

/**
 * Evacuates a worker whose machine is to be maintained or moved: long-running tasks are moved
 * within their availability budget, and batch tasks get some time to finish before they are
 * stopped. New tasks go to other workers.
 */
public final class Evacuation {
  /** Time in ns that batch tasks get to finish; most take less. */
  private static final long BATCH_GRACE_NANOS = 1_200_000_000L;

  /**
   * Time in ns after which a long-running task is stopped even if no other worker has free capacity
   * for it.
   */
  private static final long LONG_RUNNING_GRACE_NANOS = 2_000_000_000L;

  private final RunTracker tracker;
  private final Fleet fleet;
  private final JobRegistry jobs;

  /**
   * Creates an evacuation.
   *
   * @param tracker tracks the runs
   * @param fleet all workers
   * @param jobs all jobs
   */
  public Evacuation(final RunTracker tracker, final Fleet fleet, final JobRegistry jobs) {
    this.tracker = tracker;
    this.fleet = fleet;
    this.jobs = jobs;
  }

  /**
   * Stops the runs that may be stopped now.
   *
   * @param worker the worker to be evacuated
   * @param since monotonic time in ns at which the evacuation started
   * @param now monotonic time in ns
   * @return whether the worker can be terminated without losing work
   */
  public boolean advance(final WorkerState worker, final long since, final long now) {
    for (final TaskRun run : List.copyOf(worker.runs())) {
      if (run.phase() == RunPhase.RUNNING) {
        advanceRun(run, now - since, now);
      }
    }
    return worker.isSafeToTerminate();
  }

  /**
   * Moves long-running tasks off a worker that will be evacuated later. Only a few tasks of a step
   * may be unavailable at once, so evacuating a worker with many of them would take long.
   *
   * @param worker the worker
   * @param now monotonic time in ns
   */
  public void moveLongRunning(final WorkerState worker, final long now) {
    for (final TaskRun run : List.copyOf(worker.runs())) {
      if (run.isLongRunning()
          && run.phase() == RunPhase.RUNNING
          && AvailabilityBudget.mayStop(run, now)
          && fitsElsewhereWithoutMaintenance(run, now)) {
        tracker.stop(run, "maintenance of its worker is pending");
      }
    }
  }

  private boolean fitsElsewhereWithoutMaintenance(final TaskRun run, final long now) {
    final StepRun step = run.task().step();
    for (final WorkerState other : fleet.ofService(jobs.serviceOf(step.job()))) {
      if (!other.isMaintenancePending() && fits(run, other, now)) {
        return true;
      }
    }
    return false;
  }

  private void advanceRun(final TaskRun run, final long elapsed, final long now) {
    final boolean longRunning = run.isLongRunning();
    if (!longRunning) {
      if (elapsed >= BATCH_GRACE_NANOS) {
        tracker.stop(run, "its worker is being evacuated");
      }
    } else if (AvailabilityBudget.mayStop(run, now)
        && (elapsed >= LONG_RUNNING_GRACE_NANOS || fitsElsewhere(run, now))) {
      tracker.stop(run, "its worker is being evacuated");
    }
  }

  private boolean fitsElsewhere(final TaskRun run, final long now) {
    final StepRun step = run.task().step();
    for (final WorkerState other : fleet.ofService(jobs.serviceOf(step.job()))) {
      if (fits(run, other, now)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a run could start on another worker; not above a lowered quota. */
  private static boolean fits(final TaskRun run, final WorkerState other, final long now) {
    return run.task().step().job().account().isWithinLimit()
        && other != run.worker()
        && other.isSchedulable(now)
        && Placement.fits(run.task().step(), other);
  }
}
