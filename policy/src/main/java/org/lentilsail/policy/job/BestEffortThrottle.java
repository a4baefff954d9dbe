package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.List;

/**
 * Slows tasks that fill down while a task that serves beside them is near its target, and lets them
 * catch up step by step when it is far below.
 */
public final class BestEffortThrottle {
  /** Share of the target above which the tasks that fill are slowed down. */
  private static final double HIGH_SHARE = 0.85;

  /** Share of the target below which the tasks that fill may work more. */
  private static final double LOW_SHARE = 0.55;

  /** Time in ns between two changes; a worker's figures cover its last 500 ms. */
  private static final long INTERVAL_NANOS = 600_000_000L;

  /** Steps up in percent; down it is halved. */
  private static final int STEP_UP = 10;

  /** Pace in percent below which a task that fills does not work at all. */
  private static final int LOWEST = 12;

  private static final int FULL = 100;

  private BestEffortThrottle() {}

  /**
   * Decides the pace of the tasks that fill on a worker.
   *
   * @param worker the worker
   * @param lastChange monotonic time in ns of the last change there
   * @param now monotonic time in ns
   * @return the changes
   */
  public static List<RunCommand.SetCpuLimit> decide(
      final WorkerState worker, final long lastChange, final long now) {
    double highest = -1;
    for (final TaskRun run : worker.runs()) {
      final long target = run.task().step().spec().targetMillis();
      if (target > 0 && run.phase() == RunPhase.RUNNING && run.usage() >= 0) {
        highest = Math.max(highest, (double) run.usage() / target);
      }
    }
    final List<RunCommand.SetCpuLimit> changes = new ArrayList<>();
    if (now - lastChange < INTERVAL_NANOS) {
      return changes;
    }
    for (final TaskRun run : worker.runs()) {
      if (run.task().step().spec().fills() && run.phase() == RunPhase.RUNNING) {
        final int wanted = next(run.cpuLimitPercent(), highest);
        if (wanted != run.cpuLimitPercent()) {
          run.updateCpuLimit(wanted);
          changes.add(new RunCommand.SetCpuLimit(run, wanted));
        }
      }
    }
    return changes;
  }

  private static int next(final int percent, final double load) {
    if (load > HIGH_SHARE) {
      final int half = load > 1 ? percent / 4 : percent / 2;
      return half < LOWEST ? 0 : half;
    }
    if (load < LOW_SHARE) {
      return Math.min(FULL, percent + STEP_UP);
    }
    return percent;
  }
}
