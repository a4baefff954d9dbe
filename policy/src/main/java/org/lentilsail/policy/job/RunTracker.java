package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lentilsail.model.job.JobState;

/**
 * Follows runs from their start to their end: takes in what workers answer and list, and tells
 * which runs have to be stopped. Owned by the control thread.
 */
public final class RunTracker {
  private final JobRegistry jobs;
  private final List<RunCommand> orders = new ArrayList<>();
  private final RunNumbers numbers;

  /**
   * Creates a ledger.
   *
   * @param jobs all jobs
   * @param numbers gives numbers to runs
   */
  public RunTracker(final JobRegistry jobs, final RunNumbers numbers) {
    this.jobs = jobs;
    this.numbers = numbers;
  }

  /**
   * Takes the orders that events have made necessary.
   *
   * @return the orders, to be sent in this order
   */
  public List<RunCommand> takeCommands() {
    final List<RunCommand> taken = List.copyOf(orders);
    orders.clear();
    return taken;
  }

  /**
   * Begins a run.
   *
   * @param task the task
   * @param worker where it is to run
   * @param number number of the run, 0 to take the next one
   * @param now monotonic time in ns
   * @return the run
   */
  public TaskRun start(
      final Task task, final WorkerState worker, final int number, final long now) {
    final int run = number > 0 ? number : numbers.nextAfter(task.lastRunNumber());
    final TaskRun started = new TaskRun(task, run, worker, now);
    task.recordRunNumber(run);
    task.runs().add(started);
    worker.add(started);
    return started;
  }

  /**
   * Tells the worker to stop a run.
   *
   * @param run the run
   * @param reason why, for the log
   */
  public void stop(final TaskRun run, final String reason) {
    if (run.phase() != RunPhase.STOPPING) {
      run.markStopping(reason);
      orders.add(new RunCommand.Stop(run));
    }
  }

  /**
   * Takes in that the worker accepted a start.
   *
   * @param run the run
   * @param now monotonic time in ns
   */
  public void startAccepted(final TaskRun run, final long now) {
    run.confirm(now);
    run.task().step().job().markRunning();
  }

  /**
   * Takes in that a start has certainly had no effect.
   *
   * @param run the run
   * @param now monotonic time in ns
   */
  public void startRejected(final TaskRun run, final long now) {
    drop(run, now);
    if (run.task().step().spec().gang()) {
      stopGang(run.task().step(), "another member could not start");
    }
  }

  /**
   * Takes in that a start was not answered: it may have begun or may still begin. The next look at
   * the worker shows it, or else it is stopped so that it cannot begin later.
   *
   * @param run the run
   * @param now monotonic time in ns
   */
  public void startUnconfirmed(final TaskRun run, final long now) {
    run.markUnconfirmed(now);
  }

  /**
   * Takes in that the worker accepted a stop. A run that has not begun by now never will.
   *
   * @param run the run
   * @param now monotonic time in ns
   */
  public void stopAccepted(final TaskRun run, final long now) {
    run.confirm(now);
  }

  /**
   * Takes in that a job has been cancelled or has ended otherwise.
   *
   * @param job the job
   * @param reason why its runs are stopped, for the log
   */
  public void stopAll(final JobRun job, final String reason) {
    for (final StepRun step : job.steps()) {
      for (final Task task : step.tasks()) {
        List.copyOf(task.runs()).forEach(run -> stop(run, reason));
      }
    }
  }

  /**
   * Takes in the lists of a worker.
   *
   * @param worker the worker
   * @param list its lists
   * @param sentAt monotonic time in ns at which the lists were asked for
   * @param now monotonic time in ns
   * @param wallMillis wall clock time in ms since the Unix epoch
   * @return whether an end was taken in that must be kept before it is acknowledged
   */
  public boolean applyReport(
      final WorkerState worker,
      final WorkerReport list,
      final long sentAt,
      final long now,
      final long wallMillis) {
    worker.clock().recordReading(list.clockMillis(), now);
    worker.responding(true);
    boolean mustKeep = false;
    for (final FinishedRun end : list.finished()) {
      if (end.sequence() > worker.finishedRuns().lastReceived()) {
        mustKeep |= ended(worker, end, now, wallMillis);
        worker.finishedRuns().recordReceived(end.sequence(), end.task());
      }
    }
    final Set<TaskRun> seen = new HashSet<>();
    for (final ActiveRun entry : list.running()) {
      final TaskRun run = runningEntry(worker, entry, now);
      if (run != null) {
        seen.add(run);
      }
    }
    dropMissing(worker, seen, sentAt, now);
    worker.synced();
    return mustKeep;
  }

  /**
   * Takes in that everything on a worker has ended without ends that can be read.
   *
   * @param worker the worker
   * @param now monotonic time in ns
   */
  public void workerLost(final WorkerState worker, final long now) {
    for (final TaskRun run : List.copyOf(worker.runs())) {
      drop(run, now);
      final StepRun step = run.task().step();
      if (step.spec().gang()) {
        stopGang(step, "another member was lost");
      }
    }
  }

  /**
   * Takes in that a worker has started anew.
   *
   * @param worker the worker
   * @param now monotonic time in ns
   */
  public void workerRestarted(final WorkerState worker, final long now) {
    workerLost(worker, now);
    worker.reset();
  }

  private TaskRun runningEntry(final WorkerState worker, final ActiveRun entry, final long now) {
    final Task task = jobs.task(entry.task());
    if (task == null) {
      orders.add(new RunCommand.Stop(foreign(worker, entry, now)));
      return null;
    }
    TaskRun run = find(task, worker, entry.run());
    if (run == null) {
      run = adopt(task, worker, entry, now);
    }
    startAccepted(run, now);
    run.recordMeasurement(entry.usage(), entry.cpuLimitPercent(), now);
    task.updateCheckpoint(entry.checkpoint());
    if (task.isDone() || task.step().job().state().isFinal()) {
      stop(run, "its work is over");
    }
    return run;
  }

  private TaskRun adopt(
      final Task task, final WorkerState worker, final ActiveRun entry, final long now) {
    final TaskRun run = start(task, worker, entry.run(), now);
    final StepRun step = task.step();
    if (task.runs().size() > 1 && !step.spec().speculative()) {
      task.runs().stream()
          .filter(other -> other != run)
          .filter(other -> other.phase() == RunPhase.RUNNING)
          .forEach(other -> stop(run.number() > other.number() ? other : run, "two runs"));
    }
    return run;
  }

  /** A run that belongs to no known job; it is stopped and not counted. */
  private static TaskRun foreign(final WorkerState worker, final ActiveRun entry, final long now) {
    final Task task = new Task(entry.task(), null, now);
    return new TaskRun(task, entry.run(), worker, now);
  }

  private void dropMissing(
      final WorkerState worker, final Set<TaskRun> seen, final long sentAt, final long now) {
    for (final TaskRun run : List.copyOf(worker.runs())) {
      if (seen.contains(run)) {
        continue;
      }
      if (run.phase() == RunPhase.UNCONFIRMED && run.unconfirmedSince() < sentAt) {
        stop(run, "its start was not answered");
      }
      final boolean known = run.confirmedAt() < sentAt;
      final boolean expired =
          run.phase() != RunPhase.STARTING
              && run.startExpiry() > 0
              && worker.clock().lowerBound(sentAt) > run.startExpiry();
      if (known || expired) {
        drop(run, now);
      }
    }
  }

  private boolean ended(
      final WorkerState worker, final FinishedRun end, final long now, final long wallMillis) {
    final Task task = jobs.task(end.task());
    if (task == null) {
      return false;
    }
    final TaskRun run = find(task, worker, end.run());
    if (run != null) {
      drop(run, now);
      if (end.outcome() == RunOutcome.DONE) {
        task.step().measured(now - run.createdAt());
      }
    }
    task.recordRunNumber(end.run());
    task.step().job().markRunning();
    task.updateCheckpoint(end.checkpoint());
    switch (end.outcome()) {
      case DONE -> done(worker, task, wallMillis);
      case FAILED -> failed(worker, task, now, wallMillis);
      default -> stopGangOf(task, end.outcome());
    }
    return !task.step().spec().longRunning()
        && (end.outcome() == RunOutcome.DONE || end.outcome() == RunOutcome.FAILED);
  }

  private void stopGangOf(final Task task, final RunOutcome how) {
    if (task.step().spec().gang() && !task.step().isDone()) {
      stopGang(task.step(), "another member ended as " + how);
    }
  }

  private void done(final WorkerState worker, final Task task, final long wallMillis) {
    worker.health().recordSuccess();
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
    } else {
      job.completeTask(task, wallMillis);
      List.copyOf(task.runs()).forEach(copy -> stop(copy, "another copy is done"));
    }
    jobs.retire(job);
  }

  private void failed(
      final WorkerState worker, final Task task, final long now, final long wallMillis) {
    final JobRun job = task.step().job();
    worker.health().recordFailure(job.id(), now);
    if (task.isDone() || job.state().isFinal()) {
      return;
    }
    task.recordFailure(worker.id());
    if (task.step().spec().longRunning()) {
      return;
    }
    jobs.markChanged(job);
    final boolean gang = task.step().spec().gang();
    final int failures =
        gang ? task.step().tasks().stream().mapToInt(Task::failures).sum() : task.failures();
    if (failures >= job.queue().maxAttempts()) {
      jobs.finish(job, JobState.FAILED, wallMillis);
      stopAll(job, "the job has failed");
    } else if (gang) {
      stopGang(task.step(), "another member failed");
    }
  }

  private void stopGang(final StepRun step, final String reason) {
    for (final Task member : step.tasks()) {
      List.copyOf(member.runs()).forEach(run -> stop(run, reason));
    }
  }

  private void drop(final TaskRun run, final long now) {
    run.worker().remove(run);
    run.task().runs().remove(run);
    run.task().restartWait(now);
  }

  private static TaskRun find(final Task task, final WorkerState worker, final int number) {
    for (final TaskRun run : task.runs()) {
      if (run.number() == number && run.worker() == worker) {
        return run;
      }
    }
    return null;
  }
}
