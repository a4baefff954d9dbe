package org.lentilsail.policy.job;

import java.util.List;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.StepSpec;

/** Chooses the worker for one task. */
final class Placement {
  /** Preference for the rack of the data over any difference in free processor. */
  private static final double DATA_RACK = 1e12;

  /** Preference for a worker without recent failures, for a task that has failed before. */
  private static final double NO_FAILURES = 1e10;

  /** Preference for a worker with other tasks that last, so that the rest are free to move. */
  private static final double LASTING_BESIDE = 1e6;

  /** Preference for a worker that no wave will end soon, for a task that lasts. */
  private static final double NOT_MAINTAINED_SOON = 1e8;

  /** Runs of one job on a worker that is at fault may use up its attempts. */
  private static final int SCARCE_ATTEMPTS = 1;

  private Placement() {}

  /**
   * Chooses a worker.
   *
   * @param task the task
   * @param candidates workers of the service
   * @param now monotonic time in ns
   * @return the best worker, null when none has room
   */
  static WorkerState choose(final Task task, final List<WorkerState> candidates, final long now) {
    WorkerState best = null;
    double bestScore = Double.NEGATIVE_INFINITY;
    for (final WorkerState worker : candidates) {
      if (isAllowed(task, worker, now)) {
        final double score = score(task, worker);
        if (best == null || score > bestScore) {
          best = worker;
          bestScore = score;
        }
      }
    }
    return best;
  }

  private static boolean isAllowed(final Task task, final WorkerState worker, final long now) {
    return worker.isSchedulable(now)
        && fits(task.step(), worker)
        && task.step().isPermitted(worker, now)
        && worker.free().cpuMillis() >= task.step().spec().reserved().cpuMillis()
        && !repeatsFailure(task, worker);
  }

  /** Tells whether a worker meets everything that the step asks for. */
  static boolean fits(final StepRun step, final WorkerState worker) {
    final StepSpec spec = step.spec();
    return spec.reserved().fitsIn(worker.free()) && suits(step, worker);
  }

  /** Tells whether a worker meets what the step asks for beside free resources. */
  static boolean suits(final StepRun step, final WorkerState worker) {
    final StepSpec spec = step.spec();
    return (spec.requiredLabel().isEmpty() || worker.hasLabel(spec.requiredLabel()))
        && (spec.maxPerWorker() <= 0 || step.runCountOn(worker) < spec.maxPerWorker());
  }

  /** A task that is about to use its last attempt does not go where runs have just failed. */
  private static boolean repeatsFailure(final Task task, final WorkerState worker) {
    if (task.step().spec().longRunning() || task.failures() == 0) {
      return false;
    }
    final int left = task.step().job().queue().maxAttempts() - task.failures();
    return worker.id().equals(task.lastFailedWorker())
        || (left <= SCARCE_ATTEMPTS && worker.health().hasFailures());
  }

  private static int lastingRuns(final WorkerState worker) {
    int count = 0;
    for (final TaskRun run : worker.runs()) {
      if (run.isLongRunning()) {
        count++;
      }
    }
    return count;
  }

  private static double score(final Task task, final WorkerState worker) {
    final StepSpec spec = task.step().spec();
    final Resources free = worker.free();
    double score = -free.cpuMillis();
    if (spec.longRunning()) {
      score += LASTING_BESIDE * lastingRuns(worker);
      score += worker.isMaintenancePending() ? 0 : NOT_MAINTAINED_SOON;
    }
    if (!spec.dataRack().isEmpty() && worker.hasLabel(spec.dataRack())) {
      score += DATA_RACK;
    }
    if (task.failures() > 0 && !worker.health().hasFailures()) {
      score += NO_FAILURES;
    }
    return score;
  }
}
