package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.StepProgress;
import org.lentilsail.model.job.StepSpec;
import org.lentilsail.model.job.TaskId;

/** Runtime state of one step in one occurrence of a job; confined to the control thread. */
public final class StepRun {
  private final JobRun job;
  private final int occurrence;
  private final int number;
  private final StepSpec spec;
  private final List<Task> tasks;
  private final StepPermits permits = new StepPermits();
  private int done;

  /**
   * Monotonic time in ns at which a quota last held back the step. The initial value lies before
   * any monotonic time and does not overflow in differences.
   */
  private long heldAt = Long.MIN_VALUE / 2;

  private int measuredTasks;
  private long totalNanos;

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
   * Returns the specification.
   *
   * @return the step as it was submitted
   */
  public StepSpec spec() {
    return spec;
  }

  /**
   * Returns the tasks.
   *
   * @return all tasks, ordered by index
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
   * Returns whether all tasks are done.
   *
   * @return whether no task remains
   */
  public boolean isDone() {
    return done == spec.count();
  }

  /**
   * Returns how many tasks are not done.
   *
   * @return number of waiting and running tasks
   */
  public int remainingTasks() {
    return spec.count() - done;
  }

  /**
   * Returns the name of the step.
   *
   * @return job, occurrence and number, separated by dots
   */
  public String name() {
    return job.id() + '.' + occurrence + '.' + number;
  }

  /**
   * Returns the permits of the step, for a queue that requires advice.
   *
   * @return the answers of the advice service for the step
   */
  public StepPermits permits() {
    return permits;
  }

  /**
   * Returns whether the policy of the queue allows a worker to run the step now.
   *
   * @param worker the worker
   * @param now monotonic time in ns
   * @return whether the queue requires no advice or a valid permit is available
   */
  boolean isPermitted(final WorkerState worker, final long now) {
    return !job.queue().requiresAdvice() || !permits.validPermit(worker, now).isEmpty();
  }

  /**
   * Returns whether and why the quota of the organisation holds back the step.
   *
   * @return the reason, {@code NONE} if a task of it, or the whole gang, may start
   */
  public QuotaHold quotaHold() {
    return job.account().hold(spec);
  }

  /** Returns whether a task of the step is waiting for a worker. */
  boolean hasWaitingTasks() {
    for (final Task task : tasks) {
      if (task.isWaiting()) {
        return true;
      }
    }
    return false;
  }

  /** Returns the number of tasks that are waiting for a worker. */
  int waitingTaskCount() {
    int waiting = 0;
    for (final Task task : tasks) {
      if (task.isWaiting()) {
        waiting++;
      }
    }
    return waiting;
  }

  /** Records that the quota of the organisation holds back the step now. */
  void markHeld(final long now) {
    heldAt = now;
  }

  /** Returns the monotonic time in ns at which a quota last held back the step. */
  long heldAt() {
    return heldAt;
  }

  /** Returns how many of the waiting tasks the quota of the organisation permits to start. */
  int startableTaskCount() {
    return job.account().room(spec, Resources.NONE, waitingTaskCount());
  }

  /**
   * Returns the estimated remaining work.
   *
   * @return work in core-milliseconds
   */
  double remainingWork() {
    return (double) remainingTasks() * spec.estimateMillis() * spec.demand().cpuMillis() / 1000;
  }

  /**
   * Returns the number of runs of this step on a worker.
   *
   * @param worker the worker
   * @return number of runs in any phase
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
   * Returns the mean duration of the finished tasks.
   *
   * @return duration in ns, 0 until half of the tasks are done
   */
  public long meanTaskNanos() {
    return measuredTasks * 2 < spec.count() ? 0 : totalNanos / measuredTasks;
  }

  /** Records the duration of a finished task in ns, from its start to its end. */
  void recordDuration(final long nanos) {
    measuredTasks++;
    totalNanos += nanos;
  }

  void recordTaskDone() {
    done++;
  }

  void recount() {
    done = (int) tasks.stream().filter(Task::isDone).count();
  }

  /** Returns the progress that has to be persisted, empty if there is none. */
  Optional<StepProgress> progress() {
    final BitSet bits = new BitSet(tasks.size());
    final Map<Integer, Integer> failures = new HashMap<>();
    final Map<Integer, List<Integer>> failedRuns = new HashMap<>();
    final Map<Integer, String> checkpoints = new HashMap<>();
    for (final Task task : tasks) {
      final int index = task.id().index();
      if (task.isDone()) {
        bits.set(index);
      } else {
        if (task.failures() > 0) {
          failures.put(index, task.failures());
          failedRuns.put(index, task.failedRuns());
        }
        if (!task.checkpoint().isEmpty() && task.runs().isEmpty()) {
          checkpoints.put(index, task.checkpoint());
        }
      }
    }
    return bits.isEmpty() && failures.isEmpty() && checkpoints.isEmpty()
        ? Optional.empty()
        : Optional.of(
            new StepProgress(
                occurrence, number, bits.toLongArray(), failures, failedRuns, checkpoints));
  }
}
