package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.lentilsail.model.job.Resources;

/**
 * Makes room for tasks that last and have waited too long: stops the runs of jobs of lower rank on
 * the worker where that throws the least work away.
 */
public final class Preemption {
  /** Time in ns for which a task that lasts waits for runs to end; it must be back within 3 s. */
  private static final long PATIENCE_NANOS = 900_000_000L;

  private Preemption() {}

  /**
   * Chooses the runs to stop for one task.
   *
   * @param task a task that lasts and waits
   * @param workers workers of its service
   * @param now monotonic time in ns
   * @return the runs, empty when the task should go on waiting or no worker can be made free
   */
  public static List<TaskRun> choose(
      final Task task, final List<WorkerState> workers, final long now) {
    if (!task.step().spec().longRunning() || now - task.waitingSince() < PATIENCE_NANOS) {
      return List.of();
    }
    List<TaskRun> best = List.of();
    long bestWork = Long.MAX_VALUE;
    for (final WorkerState worker : workers) {
      if (isStopping(worker)) {
        return List.of();
      }
      final List<TaskRun> victims = victims(task, worker, now);
      final long work = victims.stream().mapToLong(run -> wasted(run, now)).sum();
      if (!victims.isEmpty() && work < bestWork) {
        best = victims;
        bestWork = work;
      }
    }
    return best;
  }

  /** Room that is already being made may serve the task. */
  private static boolean isStopping(final WorkerState worker) {
    return worker.runs().stream().anyMatch(run -> run.phase() == RunPhase.STOPPING);
  }

  private static List<TaskRun> victims(final Task task, final WorkerState worker, final long now) {
    if (!worker.isSchedulable(now) || !Placement.suits(task.step(), worker)) {
      return List.of();
    }
    final List<TaskRun> candidates = new ArrayList<>();
    for (final TaskRun run : worker.runs()) {
      final StepRun step = run.task().step();
      if (run.phase() == RunPhase.RUNNING && !step.spec().longRunning() && !step.spec().gang()) {
        candidates.add(run);
      }
    }
    candidates.sort(Comparator.comparingLong(run -> wasted(run, now)));
    final Resources demand = task.step().spec().reserved();
    Resources free = worker.free();
    final List<TaskRun> chosen = new ArrayList<>();
    for (final TaskRun run : candidates) {
      if (demand.fitsIn(free)) {
        break;
      }
      chosen.add(run);
      free = free.plus(run.reserved());
    }
    return demand.fitsIn(free) ? chosen : List.of();
  }

  private static long wasted(final TaskRun run, final long now) {
    return (now - run.createdAt()) / 1_000_000 * run.reserved().cpuMillis();
  }
}
