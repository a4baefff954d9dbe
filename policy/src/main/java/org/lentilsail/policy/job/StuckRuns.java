package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds runs that stand still: they use no processor although they have been running for some time.
 * Their worker gets no work for some time, and their tasks start elsewhere. Tasks that last are
 * left alone, because they use no processor while nobody calls them.
 */
public final class StuckRuns {
  /** Time in ns without processor use; the figure of a worker covers its last 500 ms. */
  private static final long IDLE_NANOS = 700_000_000L;

  /** Time in ns from the start in which a run may load its data and restore its checkpoint. */
  private static final long START_NANOS = 1_200_000_000L;

  private StuckRuns() {}

  /**
   * Finds the runs that stand still.
   *
   * @param worker a worker that answers
   * @param now monotonic time in ns
   * @return the runs; members of gangs are left out, as they wait for each other
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
