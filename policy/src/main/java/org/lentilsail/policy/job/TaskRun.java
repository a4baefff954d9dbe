package org.lentilsail.policy.job;

import org.lentilsail.model.job.Resources;

/** One run of a task on a worker; owned by the control thread. */
public final class TaskRun {
  private final Task task;
  private final int number;
  private final WorkerState worker;
  private final long createdAt;
  private RunPhase phase = RunPhase.STARTING;
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
   * @return rises with each start of the task
   */
  public int number() {
    return number;
  }

  /**
   * Returns the worker.
   *
   * @return the worker that was told to start the run
   */
  public WorkerState worker() {
    return worker;
  }

  /**
   * Returns what is known of the run.
   *
   * @return the phase
   */
  public RunPhase phase() {
    return phase;
  }

  /**
   * Returns when the run was decided or adopted.
   *
   * @return monotonic time in ns
   */
  public long createdAt() {
    return createdAt;
  }

  /**
   * Returns when the worker confirmed the run.
   *
   * @return monotonic time in ns, the largest value before that
   */
  public long confirmedAt() {
    return confirmedAt;
  }

  /**
   * Returns until when a late start may still begin.
   *
   * @return time in ms on the clock of the worker
   */
  public long startExpiry() {
    return startExpiry;
  }

  /**
   * Records the expiry of the start order.
   *
   * @param workerMillis time in ms on the clock of the worker
   */
  public void startExpiry(final long workerMillis) {
    startExpiry = workerMillis;
  }

  /**
   * Returns the pace.
   *
   * @return share of its processor that the run may use, in percent
   */
  public int cpuLimitPercent() {
    return cpuLimitPercent;
  }

  /**
   * Returns why the run is being stopped.
   *
   * @return the reason, empty when it is not
   */
  public String stopReason() {
    return stopReason;
  }

  /**
   * Returns the last measured figure of the run.
   *
   * @return tail response time in ms of a serving task, else processor in thousandths of a core; -1
   *     before the first one
   */
  public long usage() {
    return usage;
  }

  /** Tells whether the run belongs to a task that runs until its job is cancelled. */
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

  void markUnconfirmed(final long now) {
    if (phase == RunPhase.STARTING) {
      phase = RunPhase.UNCONFIRMED;
      unconfirmedSince = now;
    }
  }

  long unconfirmedSince() {
    return unconfirmedSince;
  }

  void markStopping(final String why) {
    phase = RunPhase.STOPPING;
    stopReason = why;
  }

  void recordMeasurement(final long value, final int reportedPercent, final long now) {
    usage = value;
    if (reportedPercent >= 0) {
      cpuLimitPercent = reportedPercent;
    }
    final boolean idle =
        value == 0 && task.step().spec().targetMillis() == 0 && cpuLimitPercent > 0;
    idleSince = idle ? (idleSince < 0 ? now : idleSince) : -1;
    final long target = task.step().spec().targetMillis();
    final boolean over = target > 0 && value > target;
    overTargetSince = over ? (overTargetSince < 0 ? now : overTargetSince) : -1;
  }
}
