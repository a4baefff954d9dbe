package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Decides which waiting tasks start now, and where. Owned by the control thread. */
public final class Scheduler {
  private final JobRegistry jobs;
  private final Fleet fleet;
  private final RunTracker ledger;
  private final RecoveryGate gate;

  /**
   * Creates a scheduler.
   *
   * @param jobs all jobs
   * @param fleet all workers
   * @param ledger follows the runs
   * @param gate holds back work after a change of the holder
   */
  public Scheduler(
      final JobRegistry jobs, final Fleet fleet, final RunTracker ledger, final RecoveryGate gate) {
    this.jobs = jobs;
    this.fleet = fleet;
    this.ledger = ledger;
    this.gate = gate;
  }

  /**
   * Starts everything that fits.
   *
   * @param now monotonic time in ns
   * @return the starts, the most urgent first
   */
  public List<RunCommand.Start> place(final long now) {
    final List<RunCommand.Start> starts = new ArrayList<>();
    final Map<String, List<WorkerState>> workers = new HashMap<>();
    for (final StepPriority.Rank rank : waiting(now)) {
      final StepRun step = rank.step();
      final List<WorkerState> candidates =
          workers.computeIfAbsent(jobs.serviceOf(step.job()), fleet::ofService);
      if (step.spec().gang()) {
        placeGang(step, candidates, now, starts);
      } else {
        placeTasks(step, candidates, now, starts);
      }
    }
    placeCopies(workers, now, starts);
    return starts;
  }

  /** Starts second copies of slow tasks in the room that is left. */
  private void placeCopies(
      final Map<String, List<WorkerState>> workers,
      final long now,
      final List<RunCommand.Start> starts) {
    for (final JobRun job : jobs.active()) {
      for (final StepRun step : job.steps()) {
        for (final Task task : Speculation.find(step, now)) {
          final WorkerState first = task.runs().get(0).worker();
          final List<WorkerState> others =
              workers.computeIfAbsent(jobs.serviceOf(job), fleet::ofService).stream()
                  .filter(worker -> worker != first)
                  .toList();
          final WorkerState worker = Placement.choose(task, others, now);
          if (worker != null) {
            starts.add(new RunCommand.Start(ledger.start(task, worker, 0, now)));
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
      for (final StepRun step : job.steps()) {
        if (!step.isDone() && job.isReady(step) && step.hasWaitingTasks()) {
          ranks.add(StepPriority.rank(step, now));
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
    for (final Task task : step.tasks()) {
      if (!task.isWaiting() || gate.blocks(task.id())) {
        continue;
      }
      final WorkerState worker = Placement.choose(task, candidates, now);
      if (worker != null) {
        starts.add(new RunCommand.Start(ledger.start(task, worker, 0, now)));
        continue;
      }
      Preemption.choose(task, candidates, now)
          .forEach(run -> ledger.stop(run, "a task that lasts needs its room"));
      if (task.failures() == 0) {
        return;
      }
    }
  }

  private void placeGang(
      final StepRun step,
      final List<WorkerState> candidates,
      final long now,
      final List<RunCommand.Start> starts) {
    if (!step.tasks().stream().allMatch(task -> task.isWaiting() && !gate.blocks(task.id()))) {
      return;
    }
    final List<WorkerState> chosen = GangPlacement.choose(step, candidates, now);
    if (chosen.isEmpty()) {
      return;
    }
    final Task first = step.tasks().get(0);
    int number = 0;
    for (final Task task : step.tasks()) {
      first.recordRunNumber(task.lastRunNumber());
    }
    final String saved = commonCheckpoint(step);
    for (int i = 0; i < chosen.size(); i++) {
      final Task task = step.tasks().get(i);
      task.restore(false, task.failures(), saved);
      final TaskRun run = ledger.start(task, chosen.get(i), number, now);
      number = run.number();
      starts.add(new RunCommand.Start(run));
    }
  }

  /** All members must carry the same checkpoint; that of any member is valid for all. */
  private static String commonCheckpoint(final StepRun step) {
    for (final Task task : step.tasks()) {
      if (!task.checkpoint().isEmpty()) {
        return task.checkpoint();
      }
    }
    return "";
  }
}
