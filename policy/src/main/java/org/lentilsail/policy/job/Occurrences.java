package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.lentilsail.model.job.JobSpec;
import org.lentilsail.model.job.StepSpec;

/**
 * The occurrences of one job that have started and still matter. Only a limited number of them is
 * held at a time: the earliest ones are dropped once they are done, and later ones start after
 * that. Confined to the control thread.
 */
final class Occurrences {
  /** Maximum distance between the earliest unfinished occurrence and the last one that started. */
  private static final int MAX_WINDOW = 200;

  /** Maximum number of steps of the occurrences within that distance. */
  private static final int MAX_STEPS = 2_000;

  /** Maximum number of tasks of the occurrences within that distance. */
  private static final int MAX_TASKS = 10_000;

  private final JobRun job;
  private final TaskBudget budget;
  private final NavigableMap<Integer, List<StepRun>> started = new TreeMap<>();

  /** Number of the earliest occurrence that is not known to be done; earlier ones are dropped. */
  private int first;

  private int next;
  private int done;

  Occurrences(final JobRun job, final TaskBudget budget) {
    this.job = job;
    this.budget = budget;
  }

  /** Returns the number of tasks of one occurrence. */
  static long taskCount(final JobSpec spec) {
    return spec.steps().stream().mapToLong(StepSpec::count).sum();
  }

  /** Returns the steps of all occurrences, ordered by occurrence and step number. */
  List<StepRun> steps() {
    if (started.size() == 1) {
      return started.firstEntry().getValue();
    }
    final List<StepRun> all = new ArrayList<>();
    started.values().forEach(all::addAll);
    return all;
  }

  /** Returns the steps of an occurrence, null if it has not started or is dropped. */
  List<StepRun> stepsOf(final int occurrence) {
    return started.get(occurrence);
  }

  /** Returns the steps of each occurrence. */
  Iterable<List<StepRun>> all() {
    return started.values();
  }

  /** Returns the number of the earliest occurrence that has neither started nor is done. */
  int next() {
    return next;
  }

  /** Returns the number of occurrences that are done and dropped, all of them the earliest ones. */
  int dropped() {
    return first;
  }

  int done() {
    return done;
  }

  /** Returns whether the next occurrence may start. */
  boolean mayStartNext() {
    return next - first < window() && budget.hasRoom(taskCount(spec()));
  }

  /** Starts an occurrence, unless it has started or is done. */
  void start(final int occurrence, final long now) {
    if (occurrence < first || started.containsKey(occurrence)) {
      return;
    }
    final List<StepRun> steps = new ArrayList<>();
    final List<StepSpec> specs = spec().steps();
    for (int i = 0; i < specs.size(); i++) {
      steps.add(new StepRun(job, occurrence, i, specs.get(i), now));
    }
    if (done == first + started.size()) {
      job.activity().restartWait(now);
    }
    started.put(occurrence, steps);
    budget.add(taskCount(spec()));
    skipStarted();
  }

  /** Records that the first occurrences were done and dropped by an earlier leader. */
  void restoreDropped(final int count) {
    first = Math.max(first, count);
    started.headMap(first).clear();
    skipStarted();
  }

  /** Counts the occurrences that are done after their steps were restored. */
  void recount() {
    done = first + (int) started.values().stream().filter(Occurrences::isDone).count();
  }

  /** Records that a step is done; returns whether its whole occurrence is. */
  boolean recordStepDone(final StepRun step) {
    if (!isDone(started.get(step.occurrence()))) {
      return false;
    }
    done++;
    return true;
  }

  /** Drops the earliest occurrences as far as they are done and nothing of them runs. */
  void dropDone() {
    while (!started.isEmpty()
        && started.firstKey() == first
        && isDone(started.firstEntry().getValue())
        && !hasRuns(started.firstEntry().getValue())) {
      started.pollFirstEntry();
      budget.subtract(taskCount(spec()));
      first++;
    }
  }

  /** Drops all occurrences of a job that has ended. */
  void dropAll() {
    budget.subtract(started.size() * taskCount(spec()));
    started.clear();
  }

  private void skipStarted() {
    next = Math.max(next, first);
    while (started.containsKey(next)) {
      next++;
    }
  }

  private int window() {
    final int steps = Math.max(1, spec().steps().size());
    final long tasks = Math.max(1, taskCount(spec()));
    final long fitting = Math.min(MAX_STEPS / steps, MAX_TASKS / tasks);
    return (int) Math.max(1, Math.min(MAX_WINDOW, fitting));
  }

  private JobSpec spec() {
    return job.submitted().spec();
  }

  private static boolean isDone(final List<StepRun> steps) {
    return steps.stream().allMatch(StepRun::isDone);
  }

  private static boolean hasRuns(final List<StepRun> steps) {
    return steps.stream()
        .anyMatch(step -> step.tasks().stream().anyMatch(task -> !task.runs().isEmpty()));
  }
}
