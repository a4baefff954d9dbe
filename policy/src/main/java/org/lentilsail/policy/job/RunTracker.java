package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Tracks runs from their start to their end: applies command results and status reports of workers,
 * and determines which runs have to be stopped. Confined to the control thread.
 */
public final class RunTracker {
  private final JobRegistry jobs;
  private final List<RunCommand> commands = new ArrayList<>();
  private final RunNumbers numbers;
  private final FinishedRunProcessor finishedRuns;
  private final DuplicateRuns duplicates;
  private final DropListener drops;

  /**
   * Creates a tracker.
   *
   * @param jobs all jobs
   * @param numbers assigns run numbers
   */
  public RunTracker(final JobRegistry jobs, final RunNumbers numbers) {
    this(jobs, numbers, DropListener.NONE);
  }

  /**
   * Creates a tracker that reports the runs that it drops.
   *
   * @param jobs all jobs
   * @param numbers assigns run numbers
   * @param drops is told of each run that is dropped without its end
   */
  public RunTracker(final JobRegistry jobs, final RunNumbers numbers, final DropListener drops) {
    this.jobs = jobs;
    this.numbers = numbers;
    this.drops = drops;
    this.finishedRuns = new FinishedRunProcessor(jobs, this, drops);
    this.duplicates = new DuplicateRuns(this);
  }

  /**
   * Removes and returns the pending stop commands.
   *
   * @return the commands, in the order in which they have to be sent
   */
  public List<RunCommand> takeCommands() {
    final List<RunCommand> taken = List.copyOf(commands);
    commands.clear();
    return taken;
  }

  /**
   * Assigns a new run of a task to a worker.
   *
   * @param task the task
   * @param worker the worker that shall run it
   * @param number number of the run, 0 for the next free number
   * @param now monotonic time in ns
   * @return the run
   */
  public TaskRun start(
      final Task task, final WorkerState worker, final int number, final long now) {
    final int run = number > 0 ? number : numbers.nextAfter(task.lastRunNumber());
    final TaskRun started = new TaskRun(task, run, worker, now);
    task.recordRun(run, worker.id());
    task.runs().add(started);
    task.step().job().activity().recordStart();
    task.step().job().account().add(task.step().spec().demand());
    worker.add(started);
    return started;
  }

  /**
   * Requests the stop of a run, unless it is already being stopped.
   *
   * @param run the run
   * @param reason reason for the log
   */
  public void stop(final TaskRun run, final String reason) {
    if (run.phase() != RunPhase.STOPPING) {
      run.markStopping(reason);
      commands.add(new RunCommand.Stop(run));
    }
  }

  /**
   * Records that the worker accepted a start command.
   *
   * @param run the run
   * @param now monotonic time in ns
   */
  public void startAccepted(final TaskRun run, final long now) {
    run.confirm(now);
    run.markBegun();
    run.task().step().job().markRunning();
  }

  /**
   * Records that a start command certainly had no effect.
   *
   * @param run the run
   * @param evidence the answer, or why there was none
   * @param now monotonic time in ns
   */
  public void startRejected(final TaskRun run, final DropEvidence evidence, final long now) {
    dropWithoutEnd(run, evidence, now);
    if (run.task().step().spec().gang()) {
      stopGang(run.task().step(), run.number(), "another gang member could not start");
    }
  }

  /**
   * Records that a start command was not answered: the run may have begun or may still begin. If
   * the next report of the worker lacks the run, it is stopped so that it cannot begin later.
   *
   * @param run the run
   * @param now monotonic time in ns
   */
  public void startUnconfirmed(final TaskRun run, final long now) {
    run.markUnconfirmed(now);
  }

  /**
   * Records that the worker accepted a stop command. A run that has not begun will never begin.
   *
   * @param run the run
   * @param now monotonic time in ns
   */
  public void stopAccepted(final TaskRun run, final long now) {
    run.confirm(now);
  }

  /**
   * Stops all runs of a job that was cancelled or has ended otherwise.
   *
   * @param job the job
   * @param reason reason for the log
   */
  public void stopAll(final JobRun job, final String reason) {
    for (final StepRun step : job.steps()) {
      for (final Task task : step.tasks()) {
        List.copyOf(task.runs()).forEach(run -> stop(run, reason));
      }
    }
  }

  /**
   * Applies a status report of a worker.
   *
   * @param worker the worker
   * @param report the report
   * @param sentAt monotonic time in ns at which the report was requested
   * @param now monotonic time in ns
   * @param wallMillis wall clock time in ms since the Unix epoch
   * @return whether a reported finished run must be persisted before it is acknowledged
   */
  public boolean applyReport(
      final WorkerState worker,
      final WorkerReport report,
      final long sentAt,
      final long now,
      final long wallMillis) {
    worker.clock().recordReading(report.clockMillis(), now);
    worker.contact().markResponding();
    boolean mustPersist = false;
    for (final FinishedRun finished : report.finished()) {
      if (finished.sequence() > worker.finishedRuns().lastReceived()) {
        mustPersist |= finishedRuns.apply(worker, finished, now, wallMillis);
        worker.finishedRuns().recordReceived(finished.sequence(), finished.task());
      }
    }
    final Set<TaskRun> reported = new HashSet<>();
    for (final ActiveRun active : report.running()) {
      final TaskRun run = applyActiveRun(worker, active, now);
      if (run != null) {
        reported.add(run);
      }
    }
    worker.finishedRuns().moreToCome(!report.complete());
    if (report.complete()) {
      dropUnreported(worker, reported, sentAt, now);
      worker.markSynced();
    }
    return mustPersist;
  }

  /**
   * Records that all runs of a worker have ended and that their outcomes can no longer be read.
   *
   * @param worker the worker
   * @param evidence what shows it
   * @param now monotonic time in ns
   */
  public void workerLost(final WorkerState worker, final DropEvidence evidence, final long now) {
    worker.finishedRuns().moreToCome(false);
    runsLost(List.copyOf(worker.runs()), evidence, now);
  }

  /**
   * Records that runs have ended and that their outcomes can no longer be read.
   *
   * @param runs the runs
   * @param evidence what shows it
   * @param now monotonic time in ns
   */
  public void runsLost(final List<TaskRun> runs, final DropEvidence evidence, final long now) {
    runs.forEach(run -> runLost(run, evidence, now));
  }

  /**
   * Records that a worker has restarted, which ends the runs that its earlier incarnation has
   * listed. Both incarnations have one id, so any other start may have reached the new one; only a
   * report of that one shows whether it has the run.
   *
   * @param worker the worker
   * @param evidence what shows it
   * @param now monotonic time in ns
   */
  public void workerRestarted(
      final WorkerState worker, final DropEvidence evidence, final long now) {
    for (final TaskRun run : List.copyOf(worker.runs())) {
      if (run.isListed()) {
        runLost(run, evidence, now);
      } else {
        run.forgetIncarnation();
        if (run.phase() == RunPhase.STOPPING) {
          commands.add(new RunCommand.Stop(run));
        }
      }
    }
    worker.reset();
  }

  private void runLost(final TaskRun run, final DropEvidence evidence, final long now) {
    dropWithoutEnd(run, evidence, now);
    final StepRun step = run.task().step();
    if (step.spec().gang()) {
      stopGang(step, run.number(), "another gang member was lost");
    }
  }

  private TaskRun applyActiveRun(final WorkerState worker, final ActiveRun active, final long now) {
    final Task task = jobs.taskOfRun(active.task(), now);
    if (task == null) {
      commands.add(new RunCommand.Stop(unknownRun(worker, active, now)));
      return null;
    }
    TaskRun run = find(task, worker, active.run());
    if (run == null) {
      run = start(task, worker, active.run(), now);
    }
    startAccepted(run, now);
    run.markListed();
    run.recordMeasurement(active.usage(), active.cpuLimitPercent(), now);
    task.updateCheckpoint(active.checkpoint());
    if (task.isDone() || task.step().job().state().isFinal()) {
      stop(run, "its task or job has ended");
    } else {
      duplicates.stopOthers(run);
    }
    return run;
  }

  /** Creates a run that belongs to no known job; it is stopped and does not reserve resources. */
  private static TaskRun unknownRun(
      final WorkerState worker, final ActiveRun active, final long now) {
    final Task task = new Task(active.task(), null, now);
    return new TaskRun(task, active.run(), worker, now);
  }

  private void dropUnreported(
      final WorkerState worker, final Set<TaskRun> reported, final long sentAt, final long now) {
    for (final TaskRun run : List.copyOf(worker.runs())) {
      if (reported.contains(run)) {
        continue;
      }
      if (run.phase() == RunPhase.UNCONFIRMED && run.unconfirmedSince() < sentAt) {
        stop(run, "its start was not answered");
      }
      final boolean confirmed = run.confirmedAt() < sentAt;
      final boolean expired =
          run.phase() != RunPhase.STARTING
              && run.startExpiry() > 0
              && worker.clock().lowerBound(sentAt) > run.startExpiry();
      if (confirmed || expired) {
        final DropReason reason = confirmed ? DropReason.NOT_REPORTED : DropReason.START_EXPIRED;
        final String seen = "complete report with " + reported.size() + " runs";
        dropWithoutEnd(run, new DropEvidence(reason, seen, sentAt), now);
      }
    }
  }

  /**
   * Stops the runs of a gang that ended with one of its members. All members of a run share its
   * number; a later run of the gang goes on.
   */
  void stopGang(final StepRun step, final int number, final String reason) {
    for (final Task member : step.tasks()) {
      for (final TaskRun run : List.copyOf(member.runs())) {
        if (run.number() <= number) {
          stop(run, reason);
        }
      }
    }
  }

  private void dropWithoutEnd(final TaskRun run, final DropEvidence evidence, final long now) {
    if (drop(run, now)) {
      drops.runDropped(run, evidence, now);
    }
  }

  /**
   * Removes a run that has ended; returns false if it was removed before. The wait of its task goes
   * on if the run has not begun, since a task whose starts have no effect is still without a run.
   */
  boolean drop(final TaskRun run, final long now) {
    run.worker().remove(run);
    final Task task = run.task();
    if (!task.runs().remove(run)) {
      return false;
    }
    task.step().job().activity().recordEnd();
    task.step().job().account().subtract(task.step().spec().demand());
    if (run.hasBegun()) {
      task.restartWait(now);
      task.step().job().activity().restartWait(now);
    }
    return true;
  }

  /** Returns the run of a task on a worker, null if there is none with the number. */
  static TaskRun find(final Task task, final WorkerState worker, final int number) {
    for (final TaskRun run : task.runs()) {
      if (run.number() == number && run.worker() == worker) {
        return run;
      }
    }
    return null;
  }
}
