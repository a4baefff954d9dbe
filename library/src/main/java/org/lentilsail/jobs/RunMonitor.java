package org.lentilsail.jobs;

import org.lentilsail.policy.job.BestEffortThrottle;
import org.lentilsail.policy.job.RunCommand;
import org.lentilsail.policy.job.RunTracker;
import org.lentilsail.policy.job.StuckRuns;
import org.lentilsail.policy.job.TaskRun;
import org.lentilsail.policy.job.WorkerState;

/**
 * Checks the runs of one worker after each of its reports: stops stuck runs and adjusts the CPU
 * limits of best-effort runs. Confined to the control thread.
 */
final class RunMonitor {
  private final ControlContext context;
  private final WorkerState worker;
  private final RunTracker runTracker;
  private final SessionCallbacks callbacks;
  private final WorkerCommands commands;

  /**
   * Monotonic time in ns of the last change. The initial value lies before any monotonic time and
   * does not overflow in differences.
   */
  private long cpuLimitChangedAt = Long.MIN_VALUE / 2;

  RunMonitor(
      final ControlContext context,
      final WorkerState worker,
      final RunTracker runTracker,
      final SessionCallbacks callbacks,
      final WorkerCommands commands) {
    this.context = context;
    this.worker = worker;
    this.runTracker = runTracker;
    this.callbacks = callbacks;
    this.commands = commands;
  }

  void check(final long now) {
    for (final TaskRun run : StuckRuns.find(worker, now)) {
      context.log().log("run-stuck", "task", run.task().id().text(), "worker", worker.id());
      runTracker.stop(run, "the run is stuck");
      callbacks.stateChanged();
    }
    for (final RunCommand.SetCpuLimit command :
        BestEffortThrottle.decide(worker, cpuLimitChangedAt, now)) {
      cpuLimitChangedAt = now;
      commands.send(command);
    }
  }
}
