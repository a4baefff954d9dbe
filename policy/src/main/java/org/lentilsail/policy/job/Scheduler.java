package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Assigns waiting tasks to workers. Confined to the control thread. */
public final class Scheduler {
  private final JobRegistry jobs;
  private final Fleet fleet;
  private final RunTracker tracker;
  private final RecoveryGate gate;

  /**
   * Creates a scheduler.
   *
   * @param jobs all jobs
   * @param fleet all workers
   * @param tracker tracks the runs
   * @param gate blocks tasks that may still run after a change of the leader
   */
  public Scheduler(
      final JobRegistry jobs,
      final Fleet fleet,
      final RunTracker tracker,
      final RecoveryGate gate) {
    this.jobs = jobs;
    this.fleet = fleet;
    this.tracker = tracker;
    this.gate = gate;
  }

  /**
   * Starts all waiting tasks that fit on a worker, and copies of slow tasks in the remaining
   * capacity.
   *
   * @param now monotonic time in ns
   * @return start commands, the most urgent first
   */
  public List<RunCommand.Start> place(final long now) {
    final List<RunCommand.Start> starts = new ArrayList<>();
    final Map<String, List<WorkerState>> workers = new HashMap<>();
    final List<StepPriority.Rank> waiting = waiting(now);
    if (jobs.configuration().organisations().isEmpty()) {
      waiting.forEach(rank -> placeStep(rank.step(), workers, now, starts));
    } else if (!waiting.isEmpty()) {
      placeByShare(waiting, workers, now, starts);
    }
    placeCopies(workers, now, starts);
    return starts;
  }

  /** Places the steps in the order that divides the capacity between the organisations. */
  private void placeByShare(
      final List<StepPriority.Rank> waiting,
      final Map<String, List<WorkerState>> workers,
      final long now,
      final List<RunCommand.Start> starts) {
    final OrganisationShares shares =
        new OrganisationShares(jobs.configuration().organisations(), jobs.accounts(), fleet);
    final FairOrder order = new FairOrder(waiting, shares);
    for (StepPriority.Rank rank = order.next(); rank != null; rank = order.next()) {
      final int before = starts.size();
      placeStep(rank.step(), workers, now, starts);
      for (int i = before; i < starts.size(); i++) {
        order.charge(rank.step().spec().demand());
      }
    }
  }

  private void placeStep(
      final StepRun step,
      final Map<String, List<WorkerState>> workers,
      final long now,
      final List<RunCommand.Start> starts) {
    final List<WorkerState> candidates =
        workers.computeIfAbsent(jobs.serviceOf(step.job()), fleet::ofService);
    if (step.spec().gang()) {
      placeGang(step, candidates, now, starts);
    } else {
      placeTasks(step, candidates, now, starts);
    }
  }

  /** Starts speculative copies of slow tasks in the remaining capacity. */
  private void placeCopies(
      final Map<String, List<WorkerState>> workers,
      final long now,
      final List<RunCommand.Start> starts) {
    for (final JobRun job : jobs.active()) {
      for (final StepRun step : job.steps()) {
        for (final Task task : Speculation.find(step, now)) {
          if (step.quotaHold() != QuotaHold.NONE) {
            break;
          }
          final WorkerState first = task.runs().get(0).worker();
          final List<WorkerState> others =
              workers.computeIfAbsent(jobs.serviceOf(job), fleet::ofService).stream()
                  .filter(worker -> worker != first)
                  .toList();
          final WorkerState worker = Placement.choose(task, others, now);
          if (worker != null) {
            starts.add(new RunCommand.Start(tracker.start(task, worker, 0, now)));
          }
        }
      }
    }
  }

  /**
   * Returns the steps that wait for workers.
   *
   * @param now monotonic time in ns
   * @return the steps, the most urgent first
   */
  List<StepPriority.Rank> waiting(final long now) {
    final List<StepPriority.Rank> ranks = new ArrayList<>();
    for (final JobRun job : jobs.active()) {
      StepPriority.JobRank jobRank = null;
      for (final StepRun step : job.steps()) {
        if (!step.isDone() && job.isReady(step) && step.hasWaitingTasks()) {
          if (jobRank == null) {
            jobRank = StepPriority.rank(job, jobs.isInExcess(job), now);
          }
          ranks.add(StepPriority.rank(step, jobRank));
        }
      }
    }
    ranks.sort(StepPriority.COMPARATOR);
    return ranks;
  }

  private void placeTasks(
      final StepRun step,
      final List<WorkerState> candidates,
      final long now,
      final List<RunCommand.Start> starts) {
    for (final Task task : inOrder(step)) {
      if (!task.isWaiting() || gate.blocks(task.id())) {
        continue;
      }
      if (step.quotaHold() != QuotaHold.NONE) {
        step.markHeld(now);
        return;
      }
      final WorkerState worker = Placement.choose(task, candidates, now);
      if (worker != null) {
        starts.add(new RunCommand.Start(tracker.start(task, worker, 0, now)));
        continue;
      }
      Preemption.choose(task, candidates, now)
          .forEach(run -> tracker.stop(run, "preempted by a long-running task"));
      if (!task.hasFailed() || step.spec().longRunning()) {
        // The other tasks would find no worker either.
        return;
      }
    }
  }

  /** Returns the tasks of a step; the long-running task that has waited longest comes first. */
  private static List<Task> inOrder(final StepRun step) {
    return step.spec().longRunning()
        ? step.tasks().stream().sorted(Comparator.comparingLong(Task::waitingSince)).toList()
        : step.tasks();
  }

  private void placeGang(
      final StepRun step,
      final List<WorkerState> candidates,
      final long now,
      final List<RunCommand.Start> starts) {
    if (step.quotaHold() != QuotaHold.NONE
        || !step.tasks().stream().allMatch(task -> task.isWaiting() && !gate.blocks(task.id()))) {
      return;
    }
    final List<WorkerState> chosen = GangPlacement.choose(step, candidates, now);
    if (chosen.isEmpty()) {
      return;
    }
    final Task first = step.tasks().get(0);
    int number = 0;
    for (final Task task : step.tasks()) {
      first.recordRun(task.lastRunNumber(), task.lastWorker());
    }
    final String checkpoint = gangCheckpoint(step);
    for (int i = 0; i < chosen.size(); i++) {
      final Task task = step.tasks().get(i);
      task.replaceCheckpoint(checkpoint);
      final TaskRun run = tracker.start(task, chosen.get(i), number, now);
      number = run.number();
      starts.add(new RunCommand.Start(run));
    }
  }

  /**
   * Returns a checkpoint for all members of a gang. They must start from the same one, and the
   * checkpoint of any member is valid for all.
   */
  private static String gangCheckpoint(final StepRun step) {
    for (final Task task : step.tasks()) {
      if (!task.checkpoint().isEmpty()) {
        return task.checkpoint();
      }
    }
    return "";
  }
}
