package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
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

  private final SubmittedJob submitted;
  private final OrganisationAccount account;
  private final long arrivedAt;
  private final long criticalPathMillis;
  private final Map<Integer, List<StepRun>> occurrences = new TreeMap<>();
  private final JobActivity activity = new JobActivity();
  private QueueSpec queue;
  private JobState state = JobState.PENDING;
  private long finishedMillis;
  private int nextOccurrence;
  private int occurrencesDone;
  private boolean started;

  JobRun(
      final SubmittedJob submitted,
      final QueueSpec queue,
      final OrganisationAccount account,
      final long arrivedAt) {
    this.submitted = submitted;
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
   * @return the submission
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
   * Returns the steps of all occurrences that have started.
   *
   * @return the steps, ordered by occurrence and step number
   */
  public List<StepRun> steps() {
    final List<StepRun> all = new ArrayList<>();
    occurrences.values().forEach(all::addAll);
    return all;
  }

  /**
   * Returns whether all steps that a step depends on are done.
   *
   * @param step the step
   * @return whether the tasks of the step may start
   */
  public boolean isReady(final StepRun step) {
    final List<StepRun> siblings = occurrences.get(step.occurrence());
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
    final List<StepRun> steps = occurrences.get(id.occurrence());
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
    for (final List<StepRun> steps : occurrences.values()) {
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
    for (final List<StepRun> steps : occurrences.values()) {
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
      for (final List<StepRun> steps : occurrences.values()) {
        steps.forEach(step -> step.progress().ifPresent(persisted::add));
      }
    }
    return new JobProgress(state, finishedMillis, persisted, submitted.organisation());
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

  void startOccurrence(final int occurrence, final long now) {
    final List<StepRun> steps = new ArrayList<>();
    final List<StepSpec> specs = submitted.spec().steps();
    for (int i = 0; i < specs.size(); i++) {
      steps.add(new StepRun(this, occurrence, i, specs.get(i), now));
    }
    if (occurrencesDone == occurrences.size()) {
      activity.restartWait(now);
    }
    occurrences.put(occurrence, steps);
    nextOccurrence = Math.max(nextOccurrence, occurrence + 1);
  }

  /** Starts an occurrence and all earlier ones, as far as the job has them and they have not. */
  void startOccurrencesUpTo(final int occurrence, final long now) {
    while (nextOccurrence <= occurrence && hasOccurrence(occurrence)) {
      startOccurrence(nextOccurrence, now);
    }
  }

  int nextOccurrence() {
    return nextOccurrence;
  }

  void restore(final JobProgress progress, final long now) {
    if (progress.state() != JobState.PENDING) {
      markRunning();
    }
    for (final StepProgress persisted : progress.steps()) {
      if (!hasStep(persisted)) {
        continue;
      }
      startOccurrencesUpTo(persisted.occurrence(), now);
      final StepRun step = occurrences.get(persisted.occurrence()).get(persisted.step());
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
    occurrencesDone =
        (int)
            occurrences.values().stream()
                .filter(steps -> steps.stream().allMatch(StepRun::isDone))
                .count();
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
    if (occurrences.get(step.occurrence()).stream().allMatch(StepRun::isDone)) {
      occurrencesDone++;
      if (occurrencesDone >= Math.max(1, submitted.spec().maxRuns())) {
        finish(JobState.COMPLETED, wallMillis);
      }
    }
  }

  void finish(final JobState finalState, final long wallMillis) {
    state = finalState;
    finishedMillis = wallMillis;
  }
}
