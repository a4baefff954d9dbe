package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.lentilsail.model.job.Resources;

/**
 * Frees capacity for long-running tasks that have waited too long: selects batch runs to stop on
 * the worker where the least work is wasted.
 */
public final class Preemption {
  /**
   * Time in ns that a long-running task waits for capacity before it preempts runs; it must be
   * available again within 3 s. The time in which its quota held it back does not count.
   */
  private static final long WAIT_NANOS = 900_000_000L;

  private Preemption() {}

  /**
   * Selects the runs to stop for one task.
   *
   * @param task a waiting task
   * @param workers workers of its service
   * @param now monotonic time in ns
   * @return the runs, empty if the task should continue to wait or no worker can provide enough
   *     capacity
   */
  public static List<TaskRun> choose(
      final Task task, final List<WorkerState> workers, final long now) {
    final long waitingSince = Math.max(task.waitingSince(), task.step().heldAt());
    if (!task.step().spec().longRunning() || now - waitingSince < WAIT_NANOS) {
      return List.of();
    }
    final boolean limitReached = WaitLimit.isReached(task, workers, now);
    List<TaskRun> best = List.of();
    long leastWaste = Long.MAX_VALUE;
    for (final WorkerState worker : workers) {
      if (isStopping(worker)) {
        return List.of();
      }
      final List<TaskRun> victims =
          (limitReached ? worker.isAvailable(now) : worker.isSchedulable(now))
              ? victims(task, worker, now)
              : List.of();
      final long work = victims.stream().mapToLong(run -> wastedWork(run, now)).sum();
      if (!victims.isEmpty() && work < leastWaste) {
        best = victims;
        leastWaste = work;
      }
    }
    return best;
  }

  /**
   * Returns whether a run on the worker is already being stopped; the capacity that this frees may
   * suffice.
   */
  private static boolean isStopping(final WorkerState worker) {
    return worker.runs().stream().anyMatch(run -> run.phase() == RunPhase.STOPPING);
  }

  private static List<TaskRun> victims(final Task task, final WorkerState worker, final long now) {
    if (!Placement.suits(task.step(), worker)) {
      return List.of();
    }
    final List<TaskRun> candidates = new ArrayList<>();
    for (final TaskRun run : worker.runs()) {
      final StepRun step = run.task().step();
      if (run.phase() == RunPhase.RUNNING && !step.spec().longRunning() && !step.spec().gang()) {
        candidates.add(run);
      }
    }
    candidates.sort(Comparator.comparingLong(run -> wastedWork(run, now)));
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

  private static long wastedWork(final TaskRun run, final long now) {
    return (now - run.createdAt()) / 1_000_000 * run.reserved().cpuMillis();
  }
}
