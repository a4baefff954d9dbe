package org.lentilsail.policy.job;

import java.util.List;

/**
 * Empties a worker whose machine is to be maintained or moved: new work goes elsewhere, tasks that
 * last are moved one by one within their availability budget, and short tasks may end for some time
 * before they are stopped.
 */
public final class Evacuation {
  /** Time in ns that short tasks get to end; most take less than that. */
  private static final long PATIENCE_NANOS = 1_200_000_000L;

  /** Time in ns after which a task that lasts is stopped although no other worker has room. */
  private static final long NO_ROOM_NANOS = 2_000_000_000L;

  private final RunTracker ledger;
  private final Fleet fleet;
  private final JobRegistry jobs;

  /**
   * Creates an evacuation.
   *
   * @param ledger follows the runs
   * @param fleet all workers
   * @param jobs all jobs
   */
  public Evacuation(final RunTracker ledger, final Fleet fleet, final JobRegistry jobs) {
    this.ledger = ledger;
    this.fleet = fleet;
    this.jobs = jobs;
  }

  /**
   * Takes the next steps.
   *
   * @param worker the worker to be emptied
   * @param since monotonic time in ns at which it got its last work
   * @param now monotonic time in ns
   * @return whether the worker may be ended
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
   * Moves tasks that last away from a worker that will be emptied later. Only a few tasks of a step
   * may be away at once, so a worker with many of them would take long to empty.
   *
   * @param worker the worker
   * @param now monotonic time in ns
   */
  public void moveLongRunning(final WorkerState worker, final long now) {
    for (final TaskRun run : List.copyOf(worker.runs())) {
      if (run.isLongRunning()
          && run.phase() == RunPhase.RUNNING
          && AvailabilityBudget.mayStop(run, now)
          && hasLastingRoomElsewhere(run, now)) {
        ledger.stop(run, "its worker will be maintained");
      }
    }
  }

  private boolean hasLastingRoomElsewhere(final TaskRun run, final long now) {
    final StepRun step = run.task().step();
    for (final WorkerState other : fleet.ofService(jobs.serviceOf(step.job()))) {
      if (!other.isMaintenancePending() && isRoom(run, other, now)) {
        return true;
      }
    }
    return false;
  }

  private void advanceRun(final TaskRun run, final long elapsed, final long now) {
    final boolean lasting = run.isLongRunning();
    if (!lasting) {
      if (elapsed >= PATIENCE_NANOS) {
        ledger.stop(run, "its worker is being emptied");
      }
    } else if (AvailabilityBudget.mayStop(run, now)
        && (elapsed >= NO_ROOM_NANOS || hasRoomElsewhere(run, now))) {
      ledger.stop(run, "its worker is being emptied");
    }
  }

  private boolean hasRoomElsewhere(final TaskRun run, final long now) {
    final StepRun step = run.task().step();
    for (final WorkerState other : fleet.ofService(jobs.serviceOf(step.job()))) {
      if (isRoom(run, other, now)) {
        return true;
      }
    }
    return false;
  }

  private static boolean isRoom(final TaskRun run, final WorkerState other, final long now) {
    return other != run.worker()
        && other.isSchedulable(now)
        && Placement.fits(run.task().step(), other);
  }
}
