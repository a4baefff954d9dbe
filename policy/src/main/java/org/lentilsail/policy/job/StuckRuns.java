package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.List;

/**
 * Detects stuck runs: runs that use no CPU although they have been running for some time. Their
 * worker is quarantined, and their tasks start elsewhere. Long-running tasks are excluded, because
 * they use no CPU while they receive no requests.
 */
public final class StuckRuns {
  /**
   * Time in ns without CPU usage after which a run is stuck; reported CPU usage covers the last 500
   * ms.
   */
  private static final long IDLE_NANOS = 700_000_000L;

  /**
   * Time in ns after its start in which a run may be idle while it loads its data and restores its
   * checkpoint.
   */
  private static final long START_NANOS = 1_200_000_000L;

  private StuckRuns() {}

  /**
   * Finds the stuck runs of a worker and quarantines the worker if there are any.
   *
   * @param worker a worker that responds
   * @param now monotonic time in ns
   * @return the runs; gang members are excluded, because they wait for each other
   */
  public static List<TaskRun> find(final WorkerState worker, final long now) {
    final List<TaskRun> stuck = new ArrayList<>();
    for (final TaskRun run : worker.runs()) {
      if (run.phase() == RunPhase.RUNNING
          && run.idleSince() >= 0
          && now - run.idleSince() >= IDLE_NANOS
          && now - run.confirmedAt() >= START_NANOS
          && !run.task().step().spec().gang()
          && !run.isLongRunning()) {
        stuck.add(run);
      }
    }
    if (!stuck.isEmpty()) {
      worker.health().quarantine(now);
    }
    return stuck;
  }
}
