package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.List;
import org.lentilsail.model.job.StepSpec;
import org.lentilsail.model.job.TaskId;

/** The tasks of one step in one occurrence of a job; owned by the control thread. */
public final class StepRun {
  private final JobRun job;
  private final int occurrence;
  private final int number;
  private final StepSpec spec;
  private final List<Task> tasks;
  private int done;
  private final StepPermits permits = new StepPermits();
  private int measured;
  private long measuredNanos;

  StepRun(
      final JobRun job,
      final int occurrence,
      final int number,
      final StepSpec spec,
      final long now) {
    this.job = job;
    this.occurrence = occurrence;
    this.number = number;
    this.spec = spec;
    this.tasks = new ArrayList<>(spec.count());
    for (int index = 0; index < spec.count(); index++) {
      tasks.add(new Task(new TaskId(job.id(), occurrence, number, index), this, now));
    }
  }

  /**
   * Returns the job.
   *
   * @return the job that the step belongs to
   */
  public JobRun job() {
    return job;
  }

  /**
   * Returns the description.
   *
   * @return the step as it was submitted
   */
  public StepSpec spec() {
    return spec;
  }

  /**
   * Returns the tasks.
   *
   * @return all tasks in the order of their numbers
   */
  public List<Task> tasks() {
    return tasks;
  }

  /**
   * Returns the number of the step.
   *
   * @return the number, from 0
   */
  public int number() {
    return number;
  }

  /**
   * Returns the number of the occurrence.
   *
   * @return the number, from 0
   */
  public int occurrence() {
    return occurrence;
  }

  /**
   * Tells whether all tasks are done.
   *
   * @return whether nothing is left
   */
  public boolean isDone() {
    return done == spec.count();
  }

  /**
   * Returns how many tasks are not done.
   *
   * @return tasks that wait or run
   */
  public int remainingTasks() {
    return spec.count() - done;
  }

  /**
   * Returns the name of the step.
   *
   * @return job, occurrence and number, separated by points
   */
  public String name() {
    return job.id() + '.' + occurrence + '.' + number;
  }

  /**
   * Returns the permits of an advised queue.
   *
   * @return what the advice service has said of the step
   */
  public StepPermits permits() {
    return permits;
  }

  /**
   * Tells whether the policy of the queue lets a worker run the step now.
   *
   * @param worker the worker
   * @param now monotonic time in ns
   * @return whether the queue has no such policy, or a permit is at hand
   */
  boolean isPermitted(final WorkerState worker, final long now) {
    return !job.queue().requiresAdvice() || !permits.validPermit(worker, now).isEmpty();
  }

  /** Tells whether a task of the step wants a worker. */
  boolean hasWaitingTasks() {
    return waitingTaskCount() > 0;
  }

  /** Counts the tasks that want a worker. */
  int waitingTaskCount() {
    int waiting = 0;
    for (final Task task : tasks) {
      if (task.isWaiting()) {
        waiting++;
      }
    }
    return waiting;
  }

  /**
   * Returns the estimated work that is left.
   *
   * @return work in core-milliseconds
   */
  double remainingWork() {
    return (double) remainingTasks() * spec.estimateMillis() * spec.demand().cpuMillis() / 1000;
  }

  /**
   * Counts the tasks that run on a worker.
   *
   * @param worker the worker
   * @return runs of the step there, whatever their phase
   */
  public int runCountOn(final WorkerState worker) {
    int count = 0;
    for (final TaskRun run : worker.runs()) {
      if (run.task().step() == this) {
        count++;
      }
    }
    return count;
  }

  /**
   * Returns how long a task of the step has taken.
   *
   * @return mean duration in ns of the tasks that are done, 0 before half of them are
   */
  public long meanTaskNanos() {
    return measured * 2 < spec.count() ? 0 : measuredNanos / measured;
  }

  /** Takes in how long a task took from its start to its end. */
  void measured(final long nanos) {
    measured++;
    measuredNanos += nanos;
  }

  void recordTaskDone() {
    done++;
  }

  void recount() {
    done = (int) tasks.stream().filter(Task::isDone).count();
  }
}
