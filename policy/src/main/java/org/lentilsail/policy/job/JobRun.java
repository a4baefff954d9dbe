package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.lentilsail.model.job.JobProgress;
import org.lentilsail.model.job.JobState;
import org.lentilsail.model.job.QueueSpec;
import org.lentilsail.model.job.StepProgress;
import org.lentilsail.model.job.StepSpec;
import org.lentilsail.model.job.SubmittedJob;
import org.lentilsail.model.job.TaskId;

/** Runtime state of one accepted job and its steps; confined to the control thread. */
public final class JobRun {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final OrganisationAccount account;
  private final long arrivedAt;
  private final long criticalPathMillis;
  private final long taskCount;
  private final Occurrences occurrences;
  private final JobActivity activity = new JobActivity();
  private SubmittedJob submitted;
  private QueueSpec queue;
  private JobState state = JobState.PENDING;
  private long finishedMillis;
  private boolean started;

  JobRun(
      final SubmittedJob submitted,
      final QueueSpec queue,
      final OrganisationAccount account,
      final long arrivedAt,
      final TaskBudget budget) {
    this.submitted = submitted;
    this.taskCount = Occurrences.taskCount(submitted.spec());
    this.occurrences = new Occurrences(this, budget);
    this.account = account;
    this.queue = queue;
    this.arrivedAt = arrivedAt;
    final List<StepSpec> steps = submitted.spec().steps();
    this.criticalPathMillis = CriticalPath.millis(steps, i -> steps.get(i).estimateMillis());
  }

  /**
   * Returns the id of the job.
   *
   * @return the id chosen by the caller
   */
  public String id() {
    return submitted.spec().id();
  }

  /**
   * Returns the submission that was accepted.
   *
   * @return the submission; without text and steps once the job has ended
   */
  public SubmittedJob submitted() {
    return submitted;
  }

  /**
   * Returns the queue.
   *
   * @return the queue as in the latest configuration that contained it, among those that this
   *     leader has seen and that of the acceptance of the job
   */
  public QueueSpec queue() {
    return queue;
  }

  /**
   * Returns the state of the job.
   *
   * @return the state
   */
  public JobState state() {
    return state;
  }

  /**
   * Returns whether a task of the job is known to have started.
   *
   * @return whether a start was confirmed or a finished run was recorded
   */
  public boolean hasStarted() {
    return started;
  }

  /**
   * Returns when the job was accepted.
   *
   * @return monotonic time in ns, derived from the age of the submission
   */
  public long arrivedAt() {
    return arrivedAt;
  }

  /**
   * Returns when the job reached its final state.
   *
   * @return wall clock time in ms since the Unix epoch, 0 while the job is unfinished
   */
  public long finishedMillis() {
    return finishedMillis;
  }

  /**
   * Returns the steps of all occurrences that have started and are not dropped.
   *
   * @return the steps, ordered by occurrence and step number
   */
  public List<StepRun> steps() {
    return occurrences.steps();
  }

  /**
   * Returns whether all steps that a step depends on are done.
   *
   * @param step the step
   * @return whether the tasks of the step may start
   */
  public boolean isReady(final StepRun step) {
    final List<StepRun> siblings = occurrences.stepsOf(step.occurrence());
    for (final int dependency : step.spec().after()) {
      if (!siblings.get(dependency).isDone()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Finds a task.
   *
   * @param id id of the task
   * @return the task, null if the job has no such task or its occurrence has not started
   */
  public Task task(final TaskId id) {
    final List<StepRun> steps = occurrences.stepsOf(id.occurrence());
    if (steps == null || id.step() < 0 || id.step() >= steps.size()) {
      return null;
    }
    final List<Task> tasks = steps.get(id.step()).tasks();
    return id.index() < 0 || id.index() >= tasks.size() ? null : tasks.get(id.index());
  }

  /**
   * Returns the estimated duration of the remaining critical path, the longest chain of dependent
   * unfinished steps.
   *
   * @return duration in ms
   */
  public long remainingCriticalPathMillis() {
    long longest = 0;
    for (final List<StepRun> steps : occurrences.all()) {
      longest =
          Math.max(
              longest,
              CriticalPath.millis(
                  submitted.spec().steps(),
                  i -> steps.get(i).isDone() ? 0 : steps.get(i).spec().estimateMillis()));
    }
    return longest;
  }

  /**
   * Returns the estimated remaining work.
   *
   * @return work in core-milliseconds
   */
  public double remainingWork() {
    double work = 0;
    for (final List<StepRun> steps : occurrences.all()) {
      for (final StepRun step : steps) {
        work += step.remainingWork();
      }
    }
    return work;
  }

  /**
   * Returns the time by which the job should be done according to the latency objective of its
   * queue.
   *
   * @return monotonic time in ns
   */
  public long objectiveDeadline() {
    final double objective = queue.stretch() * criticalPathMillis + queue.targetLatencyMillis();
    return arrivedAt + (long) (objective * NANOS_PER_MILLI);
  }

  /**
   * Returns the progress that has to be persisted.
   *
   * @return state of the job and, while it is unfinished, progress of its steps
   */
  public JobProgress progress() {
    final List<StepProgress> persisted = new ArrayList<>();
    if (!state.isFinal()) {
      for (final List<StepRun> steps : occurrences.all()) {
        steps.forEach(step -> step.progress().ifPresent(persisted::add));
      }
    }
    return new JobProgress(
        state, finishedMillis, persisted, submitted.organisation(), occurrences.dropped());
  }

  /**
   * Returns the account of the organisation that submitted the job.
   *
   * @return the account, one without limit for a job without organisation
   */
  public OrganisationAccount account() {
    return account;
  }

  /** Returns the number and times of the runs of the job. */
  JobActivity activity() {
    return activity;
  }

  void updateQueue(final QueueSpec newQueue) {
    queue = newQueue;
  }

  Occurrences occurrences() {
    return occurrences;
  }

  /**
   * Starts the next occurrence if there is room for its tasks.
   *
   * @return whether it has started
   */
  boolean startNextOccurrence(final long now) {
    if (isSetAside() || !occurrences.mayStartNext()) {
      return false;
    }
    occurrences.start(occurrences.next(), now);
    return true;
  }

  /** Starts the occurrence of a run that was reported, if the job has it. */
  void startReportedOccurrence(final int occurrence, final long now) {
    if (hasOccurrence(occurrence) && !state.isFinal() && !isSetAside()) {
      occurrences.start(occurrence, now);
    }
  }

  /**
   * Returns whether the job has more tasks than the leader can hold. None of them starts; an
   * earlier version has accepted the job, or another writer has stored it.
   *
   * @return whether the job is left alone
   */
  public boolean isSetAside() {
    return taskCount > TaskBudget.MAX_TASKS;
  }

  /** Drops what is not needed any more; of a job that has ended, all but its state. */
  void dropDone() {
    if (!state.isFinal()) {
      occurrences.dropDone();
    } else if (!activity.hasRuns()) {
      occurrences.dropAll();
      submitted = submitted.withoutContent();
    }
  }

  void restore(final JobProgress progress, final long now) {
    if (progress.state() != JobState.PENDING) {
      markRunning();
    }
    occurrences.restoreDropped(progress.droppedOccurrences());
    for (final StepProgress persisted : progress.steps()) {
      if (isSetAside() || !hasStep(persisted)) {
        continue;
      }
      occurrences.start(persisted.occurrence(), now);
      final List<StepRun> steps = occurrences.stepsOf(persisted.occurrence());
      if (steps == null) {
        continue;
      }
      final StepRun step = steps.get(persisted.step());
      final BitSet bits = BitSet.valueOf(persisted.doneBits());
      for (final Task task : step.tasks()) {
        final int index = task.id().index();
        task.restore(
            bits.get(index) && !step.spec().longRunning(),
            persisted.failures().getOrDefault(index, 0),
            persisted.failedRuns().getOrDefault(index, List.of()),
            persisted.checkpoints().getOrDefault(index, ""));
      }
      step.recount();
    }
    occurrences.recount();
    if (progress.state().isFinal()) {
      finish(progress.state(), progress.finishedMillis());
    }
  }

  /**
   * Returns whether persisted progress belongs to a step and an occurrence that the job can have.
   */
  private boolean hasStep(final StepProgress persisted) {
    return hasOccurrence(persisted.occurrence())
        && persisted.step() >= 0
        && persisted.step() < submitted.spec().steps().size();
  }

  private boolean hasOccurrence(final int occurrence) {
    return occurrence >= 0 && occurrence < Math.max(1, submitted.spec().maxRuns());
  }

  void markRunning() {
    started = true;
    if (state == JobState.PENDING) {
      state = JobState.RUNNING;
    }
  }

  void completeTask(final Task task, final long wallMillis) {
    task.markDone();
    final StepRun step = task.step();
    step.recordTaskDone();
    if (!step.isDone()) {
      return;
    }
    if (occurrences.recordStepDone(step)
        && occurrences.done() >= Math.max(1, submitted.spec().maxRuns())) {
      finish(JobState.COMPLETED, wallMillis);
    }
  }

  void finish(final JobState finalState, final long wallMillis) {
    state = finalState;
    finishedMillis = wallMillis;
  }
}
