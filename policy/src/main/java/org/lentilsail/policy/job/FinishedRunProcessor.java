package org.lentilsail.policy.job;

import java.util.List;
import org.lentilsail.model.job.JobState;

/**
 * Applies the finished runs that workers report to their tasks and jobs. Confined to the control
 * thread.
 */
final class FinishedRunProcessor {
  private final JobRegistry jobs;
  private final RunTracker tracker;
  private final DropListener drops;

  FinishedRunProcessor(final JobRegistry jobs, final RunTracker tracker, final DropListener drops) {
    this.jobs = jobs;
    this.tracker = tracker;
    this.drops = drops;
  }

  /**
   * Applies a finished run.
   *
   * @param worker the worker that has reported it
   * @param finished the finished run
   * @param now monotonic time in ns
   * @param wallMillis wall clock time in ms since the Unix epoch
   * @return whether its effect must be persisted before it is acknowledged
   */
  boolean apply(
      final WorkerState worker, final FinishedRun finished, final long now, final long wallMillis) {
    final Task task = jobs.taskOfRun(finished.task(), now);
    if (task == null) {
      // Tasks of a job that has ended are dropped, perhaps before its state is persisted.
      return jobs.job(finished.task().job()) != null;
    }
    final TaskRun run = RunTracker.find(task, worker, finished.run());
    if (run != null) {
      run.markBegun();
      tracker.drop(run, now);
      if (finished.outcome() == RunOutcome.DONE) {
        task.step().recordDuration(now - run.createdAt());
      }
    }
    if (finished.outcome() == RunOutcome.DONE && isRepeated(task, finished)) {
      drops.endOfRepeatedTask(worker, finished, task);
    }
    task.recordRun(finished.run(), worker.id());
    task.step().job().markRunning();
    task.updateCheckpoint(finished.checkpoint());
    switch (finished.outcome()) {
      case DONE -> runDone(worker, task, finished, wallMillis);
      case FAILED -> taskFailed(worker, task, finished.run(), now, wallMillis);
      default -> stopGangOf(task, finished);
    }
    return !task.step().spec().longRunning()
        && (finished.outcome() == RunOutcome.DONE || finished.outcome() == RunOutcome.FAILED);
  }

  /** Returns whether a task that may not run twice was started again beside or after a run. */
  private static boolean isRepeated(final Task task, final FinishedRun finished) {
    return !task.step().spec().speculative()
        && !task.step().spec().longRunning()
        && (!task.runs().isEmpty() || task.lastRunNumber() > finished.run());
  }

  private void stopGangOf(final Task task, final FinishedRun finished) {
    if (task.step().spec().gang() && !task.step().isDone()) {
      tracker.stopGang(
          task.step(), finished.run(), "another gang member ended as " + finished.outcome());
    }
  }

  private void runDone(
      final WorkerState worker,
      final Task task,
      final FinishedRun finished,
      final long wallMillis) {
    worker.health().recordSuccess();
    if (task.step().spec().longRunning()) {
      stopGangOf(task, finished);
    } else {
      taskDone(task, finished, wallMillis);
    }
  }

  private void taskDone(final Task task, final FinishedRun finished, final long wallMillis) {
    final JobRun job = task.step().job();
    if (task.isDone() || job.state().isFinal()) {
      return;
    }
    jobs.markChanged(job);
    if (task.step().spec().gang()) {
      for (final Task member : task.step().tasks()) {
        if (!member.isDone()) {
          job.completeTask(member, wallMillis);
        }
      }
      stopOtherRunsOfGang(task.step(), finished.run());
    } else {
      job.completeTask(task, wallMillis);
      List.copyOf(task.runs())
          .forEach(copy -> tracker.stop(copy, "another copy of the task is done"));
    }
    jobs.retire(job);
  }

  /** Stops the runs of a gang that is done; the members of the run that is done end themselves. */
  private void stopOtherRunsOfGang(final StepRun step, final int number) {
    for (final Task member : step.tasks()) {
      List.copyOf(member.runs()).stream()
          .filter(run -> run.number() != number)
          .forEach(run -> tracker.stop(run, "another run of the gang is done"));
    }
  }

  private void taskFailed(
      final WorkerState worker,
      final Task task,
      final int run,
      final long now,
      final long wallMillis) {
    final JobRun job = task.step().job();
    worker.health().recordFailure(job.id(), now);
    if (task.isDone() || job.state().isFinal() || !task.recordFailure(run, worker.id(), now)) {
      return;
    }
    jobs.markChanged(job);
    final boolean gang = task.step().spec().gang();
    final int failures =
        gang ? task.step().tasks().stream().mapToInt(Task::failures).sum() : task.failures();
    if (failures >= job.queue().maxAttempts()) {
      jobs.finish(job, JobState.FAILED, wallMillis);
      tracker.stopAll(job, "the job has failed");
    } else if (gang) {
      tracker.stopGang(task.step(), run, "another gang member failed");
    }
  }
}
