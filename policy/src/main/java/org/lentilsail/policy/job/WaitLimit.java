package org.lentilsail.policy.job;

import java.util.List;

/**
 * Limits the total time for which the health of workers keeps a job, or a long-running task,
 * without a run. Avoidance after a failure, quarantine and probation may follow one another; their
 * sum counts, from the moment at which the last run ended or the first task became ready. Once the
 * limit is reached, the health of a worker only lowers its score.
 */
final class WaitLimit {
  /**
   * Maximum time in ns. Callers expect a run within 3 s, which has to include the delay until the
   * end of a run is reported, a scheduling pass and a start.
   */
  static final long MAX_WAIT_NANOS = 2_000_000_000L;

  private WaitLimit() {}

  /**
   * Returns whether a task has to start on a worker that may be faulty if no other can take it. A
   * job of batch tasks needs one run, and only while less than half of the CPU of the service is in
   * use and two tasks of the step have room: the attempts of waiting jobs must not be used up on a
   * faulty worker because the healthy ones are busy. An organisation that uses half of its quota or
   * more has no such limit; part of its wait may be due to the quota.
   *
   * @param task a task without a run
   * @param workers workers of its service
   * @param now monotonic time in ns
   * @return whether the limit is reached
   */
  static boolean isReached(final Task task, final List<WorkerState> workers, final long now) {
    return task.step().spec().longRunning()
        ? now - task.waitingSince() >= MAX_WAIT_NANOS
            && task.step().job().account().usesLessThanHalf()
        : isBatchLimitReached(task.step(), workers, now);
  }

  /** Returns whether a waiting task of a step has reached the limit. */
  static boolean isReached(final StepRun step, final List<WorkerState> workers, final long now) {
    return step.spec().longRunning()
        ? step.tasks().stream().anyMatch(task -> task.isWaiting() && isReached(task, workers, now))
        : isBatchLimitReached(step, workers, now);
  }

  private static boolean isBatchLimitReached(
      final StepRun step, final List<WorkerState> workers, final long now) {
    final JobActivity activity = step.job().activity();
    if (!step.job().account().usesLessThanHalf()
        || activity.hasRuns()
        || now - activity.idleSince() < MAX_WAIT_NANOS) {
      return false;
    }
    final List<WorkerState> reachable =
        workers.stream().filter(worker -> worker.isRegistered() && worker.isResponding()).toList();
    return isLessThanHalfInUse(reachable) && hasRoomForTwo(step, reachable);
  }

  private static boolean hasRoomForTwo(final StepRun step, final List<WorkerState> workers) {
    int room = 0;
    for (final WorkerState worker : workers) {
      room += Placement.room(step, worker, 2 - room);
      if (room >= 2) {
        return true;
      }
    }
    return false;
  }

  private static boolean isLessThanHalfInUse(final List<WorkerState> workers) {
    long free = 0;
    long capacity = 0;
    for (final WorkerState worker : workers) {
      free += worker.free().cpuMillis();
      capacity += worker.entry().capacity().cpuMillis();
    }
    return free * 2 > capacity;
  }
}
