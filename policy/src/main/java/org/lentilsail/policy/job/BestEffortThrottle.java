package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.List;

/**
 * Throttles best-effort tasks while a task with a response time target on the same worker is close
 * to its target, and raises their CPU limit gradually while it is far below.
 */
public final class BestEffortThrottle {
  /** Share of the target above which best-effort tasks are throttled. */
  private static final double HIGH_SHARE = 0.85;

  /** Share of the target below which the CPU limit of best-effort tasks is raised. */
  private static final double LOW_SHARE = 0.55;

  /** Minimum time in ns between two changes; the reported measurements cover the last 500 ms. */
  private static final long INTERVAL_NANOS = 600_000_000L;

  /**
   * Percentage points by which the CPU limit is raised; it is lowered to a half, or to a quarter
   * above the target.
   */
  private static final int STEP_UP_PERCENT = 10;

  /** CPU limit in percent below which a best-effort task is paused. */
  private static final int MIN_PERCENT = 12;

  private static final int FULL_PERCENT = 100;

  private BestEffortThrottle() {}

  /**
   * Updates the CPU limits of the best-effort tasks on a worker.
   *
   * @param worker the worker
   * @param lastChange monotonic time in ns of the last change on this worker
   * @param now monotonic time in ns
   * @return commands for the changed limits
   */
  public static List<RunCommand.SetCpuLimit> decide(
      final WorkerState worker, final long lastChange, final long now) {
    double highestShare = -1;
    for (final TaskRun run : worker.runs()) {
      final long target = run.task().step().spec().targetMillis();
      if (target > 0 && run.phase() == RunPhase.RUNNING && run.usage() >= 0) {
        highestShare = Math.max(highestShare, (double) run.usage() / target);
      }
    }
    final List<RunCommand.SetCpuLimit> changes = new ArrayList<>();
    if (now - lastChange < INTERVAL_NANOS) {
      return changes;
    }
    for (final TaskRun run : worker.runs()) {
      if (run.task().step().spec().fills() && run.phase() == RunPhase.RUNNING) {
        final int newPercent = nextLimit(run.cpuLimitPercent(), highestShare);
        if (newPercent != run.cpuLimitPercent()) {
          run.updateCpuLimit(newPercent);
          changes.add(new RunCommand.SetCpuLimit(run, newPercent));
        }
      }
    }
    return changes;
  }

  private static int nextLimit(final int currentPercent, final double targetShare) {
    if (targetShare > HIGH_SHARE) {
      final int reduced = targetShare > 1 ? currentPercent / 4 : currentPercent / 2;
      return reduced < MIN_PERCENT ? 0 : reduced;
    }
    if (targetShare < LOW_SHARE) {
      return Math.min(FULL_PERCENT, currentPercent + STEP_UP_PERCENT);
    }
    return currentPercent;
  }
}
