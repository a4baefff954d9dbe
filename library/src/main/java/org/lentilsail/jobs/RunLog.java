package org.lentilsail.jobs;

import org.lentilsail.log.LineKind;
import org.lentilsail.model.job.TaskId;
import org.lentilsail.policy.job.DropEvidence;
import org.lentilsail.policy.job.DropListener;
import org.lentilsail.policy.job.FinishedRun;
import org.lentilsail.policy.job.JobRegistry;
import org.lentilsail.policy.job.JobRun;
import org.lentilsail.policy.job.RecoveryGate;
import org.lentilsail.policy.job.Task;
import org.lentilsail.policy.job.TaskRun;
import org.lentilsail.policy.job.WorkerState;

/**
 * Logs and counts each run that the leader drops without its end, each task that thereby may start
 * again, and each end that shows that a task ran twice. Confined to the control thread.
 */
final class RunLog implements DropListener {
  private final ControlContext context;
  private final JobRegistry jobs;
  private final RecoveryGate gate;

  /**
   * Creates a log.
   *
   * @param context dependencies of job control
   * @param jobs all jobs
   * @param gate knows the tasks that another worker may still run
   */
  RunLog(final ControlContext context, final JobRegistry jobs, final RecoveryGate gate) {
    this.context = context;
    this.jobs = jobs;
    this.gate = gate;
  }

  @Override
  public void runDropped(final TaskRun run, final DropEvidence evidence, final long now) {
    context.metrics().drops().recordDroppedRun(evidence.reason().text());
    context.log().log(
        kind(evidence),
        "run-dropped",
        "task",
        run.task().id().text(),
        "run",
        run.number(),
        "worker",
        run.worker().id(),
        "reason",
        evidence.reason().text(),
        "evidence",
        evidence.seen(),
        "ageMs",
        evidence.ageMillis(now));
    taskReleased(run.task().id(), run.worker().id(), evidence, now);
  }

  @Override
  public void taskReleased(
      final TaskId task, final String worker, final DropEvidence evidence, final long now) {
    if (!isFree(task)) {
      return;
    }
    context.metrics().drops().recordFreedTask(evidence.reason().text());
    context.log().log(
        kind(evidence),
        "task-freed",
        "task",
        task.text(),
        "worker",
        worker,
        "reason",
        evidence.reason().text(),
        "ageMs",
        evidence.ageMillis(now));
  }

  @Override
  public void endOfRepeatedTask(final WorkerState worker, final FinishedRun end, final Task task) {
    final boolean active = !task.runs().isEmpty();
    final String event = active ? "duplicate-run" : "late-end";
    context.metrics().drops().recordRepeatedTask(event);
    context.log().log(
        LineKind.BELIEF,
        event,
        "task",
        task.id().text(),
        "run",
        end.run(),
        "worker",
        worker.id(),
        "otherRun",
        active ? task.runs().get(0).number() : task.lastRunNumber(),
        "otherWorker",
        active ? task.runs().get(0).worker().id() : task.lastWorker());
  }

  /** Returns whether a task may start; one of an occurrence that has not started yet may too. */
  private boolean isFree(final TaskId id) {
    final JobRun job = jobs.job(id.job());
    if (job == null || job.state().isFinal() || gate.blocks(id)) {
      return false;
    }
    final Task task = job.task(id);
    return task == null || task.isWaiting();
  }

  private static LineKind kind(final DropEvidence evidence) {
    return evidence.reason().isFailedStart() ? LineKind.ORDINARY : LineKind.BELIEF;
  }
}
