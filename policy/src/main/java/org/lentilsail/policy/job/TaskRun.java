package org.lentilsail.policy.job;

import org.lentilsail.model.job.Resources;

/** Runtime state of one run of a task on a worker; confined to the control thread. */
public final class TaskRun {
  private final Task task;
  private final int number;
  private final WorkerState worker;
  private final long createdAt;
  private RunPhase phase = RunPhase.STARTING;
  private boolean begun;

  /** Whether a report has listed the run, so that the incarnation that has it is known. */
  private boolean listed;

  private long confirmedAt = Long.MAX_VALUE;
  private long startExpiry;
  private long unconfirmedSince;
  private int cpuLimitPercent = 100;
  private long usage = -1;
  private long idleSince = -1;
  private long overTargetSince = -1;
  private String stopReason = "";

  TaskRun(final Task task, final int number, final WorkerState worker, final long now) {
    this.task = task;
    this.number = number;
    this.worker = worker;
    this.createdAt = now;
  }

  /**
   * Returns the task.
   *
   * @return the task
   */
  public Task task() {
    return task;
  }

  /**
   * Returns the number of the run.
   *
   * @return the number; it increases with each start of the task
   */
  public int number() {
    return number;
  }

  /**
   * Returns the worker.
   *
   * @return the worker that was assigned the run
   */
  public WorkerState worker() {
    return worker;
  }

  /**
   * Returns the phase of the run.
   *
   * @return the phase as known to the leader
   */
  public RunPhase phase() {
    return phase;
  }

  /**
   * Returns when the run was assigned, or adopted from a report of its worker.
   *
   * @return monotonic time in ns
   */
  public long createdAt() {
    return createdAt;
  }

  /**
   * Returns when the worker confirmed the run.
   *
   * @return monotonic time in ns, {@code Long.MAX_VALUE} while unconfirmed
   */
  public long confirmedAt() {
    return confirmedAt;
  }

  /**
   * Returns the expiry of the start command. The run cannot begin after it.
   *
   * @return time in ms on the clock of the worker, 0 if not set
   */
  public long startExpiry() {
    return startExpiry;
  }

  /**
   * Sets the expiry of the start command.
   *
   * @param workerMillis time in ms on the clock of the worker
   */
  public void startExpiry(final long workerMillis) {
    startExpiry = workerMillis;
  }

  /**
   * Returns the CPU limit.
   *
   * @return percentage of its CPU that the run may use
   */
  public int cpuLimitPercent() {
    return cpuLimitPercent;
  }

  /**
   * Returns why the run is being stopped.
   *
   * @return the reason, empty if it is not being stopped
   */
  public String stopReason() {
    return stopReason;
  }

  /**
   * Returns the last measurement of the run.
   *
   * @return tail response time in ms for a task with a response time target, otherwise CPU usage in
   *     millicores; -1 before the first measurement
   */
  public long usage() {
    return usage;
  }

  /**
   * Returns whether the run belongs to a long-running task, which runs until its job is cancelled.
   */
  boolean isLongRunning() {
    return task.step().spec().longRunning();
  }

  Resources reserved() {
    return task.step().spec().reserved();
  }

  long idleSince() {
    return idleSince;
  }

  long overTargetSince() {
    return overTargetSince;
  }

  void updateCpuLimit(final int value) {
    cpuLimitPercent = value;
  }

  void confirm(final long now) {
    if (phase != RunPhase.STOPPING) {
      phase = RunPhase.RUNNING;
    }
    if (confirmedAt == Long.MAX_VALUE) {
      confirmedAt = now;
    }
  }

  /** Returns whether the worker is known to have begun the run. */
  boolean hasBegun() {
    return begun;
  }

  void markBegun() {
    begun = true;
  }

  void markUnconfirmed(final long now) {
    if (phase == RunPhase.STARTING) {
      phase = RunPhase.UNCONFIRMED;
      unconfirmedSince = now;
    }
  }

  /**
   * Returns whether a report has listed the run.
   *
   * @return false if it may be on a later incarnation of the worker than the known one
   */
  public boolean isListed() {
    return listed;
  }

  void markListed() {
    listed = true;
  }

  /**
   * Forgets what the earlier incarnation of the worker has confirmed, and the expiry of the start,
   * which is a time on the clock of that incarnation. A start that was answered is not executed a
   * second time, so a report that lacks the run still shows that it has ended.
   */
  void forgetIncarnation() {
    startExpiry = 0;
    if (!begun) {
      confirmedAt = Long.MAX_VALUE;
    }
  }

  long unconfirmedSince() {
    return unconfirmedSince;
  }

  void markStopping(final String why) {
    phase = RunPhase.STOPPING;
    stopReason = why;
  }

  void recordMeasurement(final long value, final int reportedCpuLimit, final long now) {
    usage = value;
    if (reportedCpuLimit >= 0) {
      cpuLimitPercent = reportedCpuLimit;
    }
    final boolean idle =
        value == 0 && task.step().spec().targetMillis() == 0 && cpuLimitPercent > 0;
    idleSince = idle ? (idleSince < 0 ? now : idleSince) : -1;
    final long target = task.step().spec().targetMillis();
    final boolean overTarget = target > 0 && value > target;
    overTargetSince = overTarget ? (overTargetSince < 0 ? now : overTargetSince) : -1;
  }
}
