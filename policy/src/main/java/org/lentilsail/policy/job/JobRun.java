package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntToLongFunction;
import org.lentilsail.model.job.JobProgress;
import org.lentilsail.model.job.JobState;
import org.lentilsail.model.job.QueueSpec;
import org.lentilsail.model.job.StepProgress;
import org.lentilsail.model.job.StepSpec;
import org.lentilsail.model.job.SubmittedJob;
import org.lentilsail.model.job.TaskId;

/** One accepted job with what has become of its tasks; owned by the control thread. */
public final class JobRun {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final SubmittedJob submitted;
  private final long arrivedAt;
  private final long chainMillis;
  private final Map<Integer, List<StepRun>> occurrences = new TreeMap<>();
  private QueueSpec queue;
  private JobState state = JobState.PENDING;
  private long finishedMillis;
  private int nextOccurrence;
  private int occurrencesDone;
  private boolean begun;

  JobRun(final SubmittedJob submitted, final QueueSpec queue, final long arrivedAt) {
    this.submitted = submitted;
    this.queue = queue;
    this.arrivedAt = arrivedAt;
    final List<StepSpec> steps = submitted.spec().steps();
    this.chainMillis = longestChain(steps, i -> steps.get(i).estimateMillis());
  }

  /**
   * Returns the id of the job.
   *
   * @return the id that the caller chose
   */
  public String id() {
    return submitted.spec().id();
  }

  /**
   * Returns the job as it was accepted.
   *
   * @return the submission
   */
  public SubmittedJob submitted() {
    return submitted;
  }

  /**
   * Returns the queue.
   *
   * @return the queue as the configuration in force describes it, or as it last did
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
   * Tells whether a worker has surely started a task of the job.
   *
   * @return whether a start was confirmed or an end was taken in
   */
  public boolean hasStarted() {
    return begun;
  }

  /**
   * Returns when the job became known.
   *
   * @return monotonic time in ns
   */
  public long arrivedAt() {
    return arrivedAt;
  }

  /**
   * Returns when the job reached its final state.
   *
   * @return wall clock time in ms since the Unix epoch, 0 before it
   */
  public long finishedMillis() {
    return finishedMillis;
  }

  /**
   * Returns all steps of the occurrences that have begun.
   *
   * @return the steps by occurrence and number
   */
  public List<StepRun> steps() {
    final List<StepRun> all = new ArrayList<>();
    occurrences.values().forEach(all::addAll);
    return all;
  }

  /**
   * Tells whether all steps before a step are done.
   *
   * @param step the step
   * @return whether its tasks may start
   */
  public boolean isReady(final StepRun step) {
    final List<StepRun> siblings = occurrences.get(step.occurrence());
    for (final int before : step.spec().after()) {
      if (!siblings.get(before).isDone()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Finds a task.
   *
   * @param id name of the task
   * @return the task, null when the job has none of that name yet
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
   * Returns the longest chain of estimated work that is left.
   *
   * @return duration in ms
   */
  public long remainingCriticalPathMillis() {
    long longest = 0;
    for (final List<StepRun> steps : occurrences.values()) {
      longest =
          Math.max(
              longest,
              longestChain(
                  submitted.spec().steps(),
                  i -> steps.get(i).isDone() ? 0 : steps.get(i).spec().estimateMillis()));
    }
    return longest;
  }

  /**
   * Returns the estimated work that is left.
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
   * Returns until when the job should be done.
   *
   * @return monotonic time in ns
   */
  public long objectiveDeadline() {
    final double objective = queue.stretch() * chainMillis + queue.targetLatencyMillis();
    return arrivedAt + (long) (objective * NANOS_PER_MILLI);
  }

  /**
   * Returns what has to be kept of the job.
   *
   * @return state and progress of its steps
   */
  public JobProgress progress() {
    final List<StepProgress> kept = new ArrayList<>();
    if (!state.isFinal()) {
      for (final List<StepRun> steps : occurrences.values()) {
        steps.forEach(step -> addProgress(step, kept));
      }
    }
    return new JobProgress(state, finishedMillis, kept);
  }

  void updateQueue(final QueueSpec present) {
    queue = present;
  }

  void startOccurrence(final int occurrence, final long now) {
    final List<StepRun> steps = new ArrayList<>();
    final List<StepSpec> specs = submitted.spec().steps();
    for (int i = 0; i < specs.size(); i++) {
      steps.add(new StepRun(this, occurrence, i, specs.get(i), now));
    }
    occurrences.put(occurrence, steps);
    nextOccurrence = Math.max(nextOccurrence, occurrence + 1);
  }

  int nextOccurrence() {
    return nextOccurrence;
  }

  void restore(final JobProgress progress, final long now) {
    if (progress.state() != JobState.PENDING) {
      markRunning();
    }
    for (final StepProgress kept : progress.steps()) {
      while (nextOccurrence <= kept.occurrence()) {
        startOccurrence(nextOccurrence, now);
      }
      final StepRun step = occurrences.get(kept.occurrence()).get(kept.step());
      final BitSet bits = BitSet.valueOf(kept.doneBits());
      for (final Task task : step.tasks()) {
        final int index = task.id().index();
        task.restore(
            bits.get(index),
            kept.failures().getOrDefault(index, 0),
            kept.checkpoints().getOrDefault(index, ""));
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

  void markRunning() {
    begun = true;
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

  void finish(final JobState last, final long wallMillis) {
    state = last;
    finishedMillis = wallMillis;
  }

  /** Returns the longest time through steps that wait for earlier ones. */
  private static long longestChain(
      final List<StepSpec> steps, final IntToLongFunction durationMillis) {
    long longest = 0;
    final long[] ends = new long[steps.size()];
    for (int i = 0; i < ends.length; i++) {
      long begin = 0;
      for (final int before : steps.get(i).after()) {
        begin = Math.max(begin, ends[before]);
      }
      ends[i] = begin + durationMillis.applyAsLong(i);
      longest = Math.max(longest, ends[i]);
    }
    return longest;
  }

  private static void addProgress(final StepRun step, final List<StepProgress> kept) {
    final BitSet bits = new BitSet(step.tasks().size());
    final Map<Integer, Integer> failures = new HashMap<>();
    final Map<Integer, String> checkpoints = new HashMap<>();
    for (final Task task : step.tasks()) {
      final int index = task.id().index();
      if (task.isDone()) {
        bits.set(index);
      } else {
        if (task.failures() > 0) {
          failures.put(index, task.failures());
        }
        if (!task.checkpoint().isEmpty() && task.runs().isEmpty()) {
          checkpoints.put(index, task.checkpoint());
        }
      }
    }
    if (!bits.isEmpty() || !failures.isEmpty() || !checkpoints.isEmpty()) {
      kept.add(
          new StepProgress(
              step.occurrence(), step.number(), bits.toLongArray(), failures, checkpoints));
    }
  }
}
