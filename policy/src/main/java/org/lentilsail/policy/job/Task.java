package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.List;
import org.lentilsail.model.job.TaskId;

/** One task with its runs; owned by the control thread. */
public final class Task {
  private final TaskId id;
  private final StepRun step;
  private final List<TaskRun> runs = new ArrayList<>(1);
  private boolean done;
  private int failures;
  private int lastRunNumber;
  private String checkpoint = "";
  private String lastFailedWorker = "";
  private long waitingSince;

  Task(final TaskId id, final StepRun step, final long now) {
    this.id = id;
    this.step = step;
    this.waitingSince = now;
  }

  /**
   * Returns the name of the task.
   *
   * @return the name
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
   * @return the runs, in the order of their starts
   */
  public List<TaskRun> runs() {
    return runs;
  }

  /**
   * Tells whether the task is done.
   *
   * @return whether a run has ended as done
   */
  public boolean isDone() {
    return done;
  }

  /**
   * Returns the number of failed runs.
   *
   * @return runs that ended as failed
   */
  public int failures() {
    return failures;
  }

  /**
   * Returns the last checkpoint.
   *
   * @return the checkpoint, empty for none
   */
  public String checkpoint() {
    return checkpoint;
  }

  /**
   * Tells whether the task wants a worker.
   *
   * @return whether it is neither done nor has a run
   */
  public boolean isWaiting() {
    return !done && runs.isEmpty();
  }

  /**
   * Returns since when the task has had no run.
   *
   * @return monotonic time in ns
   */
  public long waitingSince() {
    return waitingSince;
  }

  /**
   * Returns the worker on which the last run failed.
   *
   * @return id of the worker, empty for none
   */
  public String lastFailedWorker() {
    return lastFailedWorker;
  }

  int lastRunNumber() {
    return lastRunNumber;
  }

  void recordRunNumber(final int run) {
    lastRunNumber = Math.max(lastRunNumber, run);
  }

  void markDone() {
    done = true;
  }

  void recordFailure(final String worker) {
    failures++;
    lastFailedWorker = worker;
  }

  void restore(final boolean wasDone, final int failedRuns, final String saved) {
    done = wasDone;
    failures = failedRuns;
    checkpoint = saved;
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
