package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.lentilsail.model.job.TaskId;

/** Runtime state of one task and its runs; confined to the control thread. */
public final class Task {
  private final TaskId id;
  private final StepRun step;
  private final List<TaskRun> runs = new ArrayList<>(1);
  private boolean done;
  private Set<Integer> failedRuns = Set.of();

  /** Failed runs of which only the count was persisted, by an earlier version. */
  private int unnumberedFailures;

  private int lastRunNumber;
  private String lastWorker = "";
  private String checkpoint = "";
  private String lastFailedWorker = "";
  private long failedAt;
  private long waitingSince;

  Task(final TaskId id, final StepRun step, final long now) {
    this.id = id;
    this.step = step;
    this.failedAt = now;
    this.waitingSince = now;
  }

  /**
   * Returns the id of the task.
   *
   * @return the id
   */
  public TaskId id() {
    return id;
  }

  /**
   * Returns the step.
   *
   * @return the step that the task belongs to
   */
  public StepRun step() {
    return step;
  }

  /**
   * Returns the runs that have not ended.
   *
   * @return the runs, in the order in which they were started or adopted
   */
  public List<TaskRun> runs() {
    return runs;
  }

  /**
   * Returns whether the task is done.
   *
   * @return whether a run has completed successfully
   */
  public boolean isDone() {
    return done;
  }

  /**
   * Returns the number of failed runs.
   *
   * @return number of runs that ended with a failure
   */
  public int failures() {
    return unnumberedFailures + failedRuns.size();
  }

  /** Returns whether a run has failed, also one that is not counted. */
  boolean hasFailed() {
    return failures() > 0 || !lastFailedWorker.isEmpty();
  }

  /**
   * Returns the failed runs whose numbers are known.
   *
   * @return the numbers, in ascending order
   */
  public List<Integer> failedRuns() {
    return List.copyOf(failedRuns);
  }

  /**
   * Returns the last checkpoint.
   *
   * @return the checkpoint, empty if there is none
   */
  public String checkpoint() {
    return checkpoint;
  }

  /**
   * Returns whether the task is waiting for a worker.
   *
   * @return whether it is not done and has no run
   */
  public boolean isWaiting() {
    return !done && runs.isEmpty();
  }

  /**
   * Returns since when the task has had no run; one that has not begun does not count.
   *
   * @return monotonic time in ns
   */
  public long waitingSince() {
    return waitingSince;
  }

  /**
   * Returns the worker of the last failed run.
   *
   * @return id of the worker, empty if no run has failed
   */
  public String lastFailedWorker() {
    return lastFailedWorker;
  }

  /**
   * Returns when the last failed run was reported.
   *
   * @return monotonic time in ns; that of the creation of this object before the first report
   */
  public long failedAt() {
    return failedAt;
  }

  /**
   * Returns the latest known run.
   *
   * @return its number, 0 if no run is known
   */
  public int lastRunNumber() {
    return lastRunNumber;
  }

  /**
   * Returns the worker of the latest known run.
   *
   * @return id of the worker, empty if no run is known
   */
  public String lastWorker() {
    return lastWorker;
  }

  void recordRun(final int run, final String worker) {
    if (run > lastRunNumber) {
      lastRunNumber = run;
      lastWorker = worker;
    }
  }

  void markDone() {
    done = true;
  }

  /**
   * Records a failed run. A worker reports the run again to a later leader until that leader
   * acknowledges it.
   *
   * @param run number of the run
   * @param worker id of the worker
   * @param now monotonic time in ns
   * @return false if the run was already counted, or is not counted since the task is long-running
   */
  boolean recordFailure(final int run, final String worker, final long now) {
    lastFailedWorker = worker;
    failedAt = now;
    if (step.spec().longRunning() || failedRuns.contains(run)) {
      return false;
    }
    failedRuns = new TreeSet<>(failedRuns);
    return failedRuns.add(run);
  }

  void restore(
      final boolean wasDone,
      final int failures,
      final Collection<Integer> numberedFailures,
      final String savedCheckpoint) {
    done = wasDone;
    failedRuns = numberedFailures.isEmpty() ? Set.of() : new TreeSet<>(numberedFailures);
    unnumberedFailures = Math.max(0, failures - failedRuns.size());
    checkpoint = savedCheckpoint;
  }

  void replaceCheckpoint(final String value) {
    checkpoint = value;
  }

  void updateCheckpoint(final String value) {
    if (!value.isEmpty()) {
      checkpoint = value;
    }
  }

  void restartWait(final long now) {
    waitingSince = now;
  }
}
