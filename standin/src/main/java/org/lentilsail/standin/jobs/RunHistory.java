package org.lentilsail.standin.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lentilsail.model.job.TaskId;

/** Records the runs of simulated workers and detects tasks that run twice. */
public final class RunHistory {
  private final List<String> events = new ArrayList<>();
  private final Map<String, Map<TaskId, Set<Integer>>> running = new HashMap<>();
  private final Set<TaskId> done = new HashSet<>();
  private final Set<TaskId> lostOutcomes = new HashSet<>();
  private final Map<TaskId, Integer> starts = new HashMap<>();
  private final Map<TaskId, Integer> failures = new HashMap<>();
  private final Map<TaskId, Long> lastEnds = new HashMap<>();
  private final List<String> violations = new ArrayList<>();

  void started(final TaskId task, final int run, final String worker, final long nanos) {
    record(task, run, "started on " + worker, nanos);
    if (done.contains(task) && !lostOutcomes.contains(task)) {
      violations.add(
          task.text() + " run " + run + " started after the task had completed, at " + nanos);
    }
    final Set<Integer> others = runs(task);
    if (!others.isEmpty()) {
      violations.add(
          task.text()
              + " run "
              + run
              + " started while runs "
              + others
              + " were active, at "
              + nanos);
    }
    others.add(run);
    starts.merge(task, 1, Integer::sum);
  }

  void ended(
      final TaskId task,
      final int run,
      final boolean success,
      final String worker,
      final long nanos) {
    record(task, run, (success ? "done on " : "ended on ") + worker, nanos);
    runs(task).remove(run);
    lastEnds.put(task, nanos);
    if (success && !done.add(task) && !lostOutcomes.remove(task)) {
      violations.add(
          task.text() + " run " + run + " completed the task a second time, at " + nanos);
    }
  }

  /** Records that a run of a task has failed, by its own fault or that of its worker. */
  void failed(final TaskId task) {
    failures.merge(task, 1, Integer::sum);
  }

  /** Records that the outcome of a task was lost with its worker; the task may run once more. */
  void outcomeLost(final TaskId task) {
    lostOutcomes.add(task);
  }

  /**
   * Returns the violations of the guarantee that no task runs twice.
   *
   * @return one sentence for each task that ran twice at the same time, or again after it had
   *     completed
   */
  public List<String> violations() {
    return List.copyOf(violations);
  }

  /**
   * Counts the failed runs of the task of a job that has failed most often.
   *
   * @param job id of the job
   * @return number of failed runs
   */
  public int mostFailures(final String job) {
    return failures.entrySet().stream()
        .filter(entry -> entry.getKey().job().equals(job))
        .mapToInt(Map.Entry::getValue)
        .max()
        .orElse(0);
  }

  /**
   * Returns the completed tasks.
   *
   * @return ids of the tasks
   */
  public Set<TaskId> done() {
    return Set.copyOf(done);
  }

  /**
   * Returns the jobs of which at least one task has started.
   *
   * @return ids of the jobs
   */
  public Set<String> startedJobs() {
    final Set<String> jobs = new HashSet<>();
    starts.keySet().forEach(task -> jobs.add(task.job()));
    return jobs;
  }

  /**
   * Counts the starts of all tasks.
   *
   * @return number of starts
   */
  public int startCount() {
    return starts.values().stream().mapToInt(Integer::intValue).sum();
  }

  /**
   * Counts the starts of all tasks of a job.
   *
   * @param job id of the job
   * @return number of starts
   */
  public int starts(final String job) {
    return starts.entrySet().stream()
        .filter(entry -> entry.getKey().job().equals(job))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  /**
   * Counts the active runs of a job.
   *
   * @param job id of the job
   * @return number of runs
   */
  public int running(final String job) {
    return running.getOrDefault(job, Map.of()).values().stream().mapToInt(Set::size).sum();
  }

  /**
   * Returns whether a task has an active run.
   *
   * @param task id of the task
   * @return true if at least one run is active
   */
  public boolean isRunning(final TaskId task) {
    return !runs(task).isEmpty();
  }

  /**
   * Returns whether a task has completed.
   *
   * @param task id of the task
   * @return true if a run of it has ended done
   */
  public boolean isDone(final TaskId task) {
    return done.contains(task);
  }

  /**
   * Counts the failed runs of the task of a job that has failed most often.
   *
   * @param job id of the job
   * @return number of runs that ended as failed, without those that were stopped or lost
   */
  public int failures(final String job) {
    return failures.entrySet().stream()
        .filter(entry -> entry.getKey().job().equals(job))
        .mapToInt(Map.Entry::getValue)
        .max()
        .orElse(0);
  }

  /**
   * Returns when a run of a task last ended.
   *
   * @param task id of the task
   * @return monotonic time in ns, 0 for never
   */
  public long lastEnd(final TaskId task) {
    return lastEnds.getOrDefault(task, 0L);
  }

  private void record(final TaskId task, final int run, final String event, final long nanos) {
    events.add(nanos / 1_000_000 + " ms " + task.text() + " run " + run + ' ' + event);
  }

  /**
   * Returns the starts and ends of all runs.
   *
   * @return one line each, in order of time
   */
  public List<String> events() {
    return List.copyOf(events);
  }

  private Set<Integer> runs(final TaskId task) {
    return running
        .computeIfAbsent(task.job(), job -> new HashMap<>())
        .computeIfAbsent(task, key -> new HashSet<>());
  }
}
