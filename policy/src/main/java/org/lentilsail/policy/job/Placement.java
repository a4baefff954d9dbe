package org.lentilsail.policy.job;

import java.util.List;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.StepSpec;

/** Selects the worker for a single task. */
final class Placement {
  /** Score of a worker that is not in quarantine, for a task that has reached its wait limit. */
  private static final double NOT_QUARANTINED_SCORE = 1e13;

  /** Score of a worker in the rack of the data; outweighs any difference in free CPU. */
  private static final double DATA_RACK_SCORE = 1e12;

  /** Score of a worker without recent failures, for a task that has failed before. */
  private static final double NO_FAILURES_SCORE = 1e10;

  /** Score of a worker other than that of the last failed run. */
  private static final double OTHER_WORKER_SCORE = 1e9;

  /**
   * Score of a worker per long-running task on it; concentrates these tasks on few workers, so that
   * the other machines can be moved between pools.
   */
  private static final double LONG_RUNNING_NEIGHBOUR_SCORE = 1e6;

  /** Score of a worker without pending maintenance, for a long-running task. */
  private static final double NO_MAINTENANCE_SCORE = 1e8;

  /**
   * Number of remaining attempts at which a task avoids workers with recent failures; runs on a
   * faulty worker may use up the attempts of a job.
   */
  private static final int SCARCE_ATTEMPTS = 1;

  /**
   * Time in ns after a failure for which a task waits rather than repeat it. The mark of a worker
   * may never be cleared.
   */
  private static final long MAX_AVOIDANCE_NANOS = WaitLimit.MAX_WAIT_NANOS;

  /**
   * Minimum time in ns between two starts of batch tasks that have reached their wait limit on a
   * worker that may be faulty, so that not all waiting jobs lose an attempt there at once.
   */
  private static final long RISKED_START_INTERVAL_NANOS = 100_000_000L;

  private Placement() {}

  /**
   * Selects a worker; one that may be faulty only after the wait limit of the task.
   *
   * @param task the task
   * @param candidates workers of the service
   * @param now monotonic time in ns
   * @return the worker with the highest score, null if no worker has enough free capacity
   */
  static WorkerState choose(final Task task, final List<WorkerState> candidates, final long now) {
    final WorkerState healthy = best(task, candidates, false, now);
    return healthy == null && WaitLimit.isReached(task, candidates, now)
        ? best(task, candidates, true, now)
        : healthy;
  }

  private static WorkerState best(
      final Task task,
      final List<WorkerState> candidates,
      final boolean limitReached,
      final long now) {
    WorkerState best = null;
    double bestScore = Double.NEGATIVE_INFINITY;
    for (final WorkerState worker : candidates) {
      if (isAllowed(task, worker, now)
          && (limitReached ? mayRisk(task, worker, now) : isHealthy(task, worker, now))) {
        final double score = score(task, worker, now);
        if (best == null || score > bestScore) {
          best = worker;
          bestScore = score;
        }
      }
    }
    return best;
  }

  private static boolean isAllowed(final Task task, final WorkerState worker, final long now) {
    return fits(task.step(), worker)
        && task.step().isPermitted(worker, now)
        && worker.free().cpuMillis() >= task.step().spec().reserved().cpuMillis();
  }

  private static boolean isHealthy(final Task task, final WorkerState worker, final long now) {
    return worker.isSchedulable(now) && !repeatsFailure(task, worker, now);
  }

  /** Returns whether a task that has reached its wait limit may start on a worker. */
  private static boolean mayRisk(final Task task, final WorkerState worker, final long now) {
    return worker.isAvailable(now)
        && (task.step().spec().longRunning()
            || now - worker.lastStartAt() >= RISKED_START_INTERVAL_NANOS);
  }

  /** Returns whether a worker has the free resources and meets the other requirements of a step. */
  static boolean fits(final StepRun step, final WorkerState worker) {
    final StepSpec spec = step.spec();
    return spec.reserved().fitsIn(worker.free()) && suits(step, worker);
  }

  /** Returns how many tasks of a step a worker has room for, at most a limit. */
  static int room(final StepRun step, final WorkerState worker, final int limit) {
    if (!suits(step, worker)) {
      return 0;
    }
    final StepSpec spec = step.spec();
    final int most =
        spec.maxPerWorker() <= 0
            ? limit
            : Math.min(limit, spec.maxPerWorker() - step.runCountOn(worker));
    Resources free = worker.free();
    int room = 0;
    while (room < most && spec.reserved().fitsIn(free)) {
      free = free.minus(spec.reserved());
      room++;
    }
    return room;
  }

  /** Returns whether a worker meets the requirements of a step other than free resources. */
  static boolean suits(final StepRun step, final WorkerState worker) {
    final StepSpec spec = step.spec();
    return (spec.requiredLabel().isEmpty() || worker.hasLabel(spec.requiredLabel()))
        && (spec.maxPerWorker() <= 0 || step.runCountOn(worker) < spec.maxPerWorker());
  }

  /**
   * Returns whether a task would repeat a recent failure: its last failed run was on this worker,
   * or it has only its last attempt left and runs have failed on this worker since its last
   * success.
   */
  private static boolean repeatsFailure(final Task task, final WorkerState worker, final long now) {
    if (task.step().spec().longRunning()
        || task.failures() == 0
        || now - task.failedAt() >= MAX_AVOIDANCE_NANOS) {
      return false;
    }
    final int attemptsLeft = task.step().job().queue().maxAttempts() - task.failures();
    return worker.id().equals(task.lastFailedWorker())
        || (attemptsLeft <= SCARCE_ATTEMPTS && worker.health().hasFailures());
  }

  private static int longRunningRuns(final WorkerState worker) {
    int count = 0;
    for (final TaskRun run : worker.runs()) {
      if (run.isLongRunning()) {
        count++;
      }
    }
    return count;
  }

  private static double score(final Task task, final WorkerState worker, final long now) {
    final StepSpec spec = task.step().spec();
    final Resources free = worker.free();
    double score = -free.cpuMillis();
    if (spec.longRunning()) {
      score += LONG_RUNNING_NEIGHBOUR_SCORE * longRunningRuns(worker);
      score += worker.isMaintenancePending() ? 0 : NO_MAINTENANCE_SCORE;
    }
    if (!spec.dataRack().isEmpty() && worker.hasLabel(spec.dataRack())) {
      score += DATA_RACK_SCORE;
    }
    if (!worker.health().isQuarantined(now)) {
      score += NOT_QUARANTINED_SCORE;
    }
    if (task.hasFailed() && !worker.health().hasFailures()) {
      score += NO_FAILURES_SCORE;
    }
    if (!worker.id().equals(task.lastFailedWorker())) {
      score += OTHER_WORKER_SCORE;
    }
    return score;
  }
}
