package org.lentilsail.policy.job;

/** What a worker is to be told. */
public sealed interface RunCommand {
  /**
   * Returns the run.
   *
   * @return the run that the order is about
   */
  TaskRun run();

  /**
   * Starts a run.
   *
   * @param run the run
   */
  record Start(TaskRun run) implements RunCommand {}

  /**
   * Stops a run.
   *
   * @param run the run
   */
  record Stop(TaskRun run) implements RunCommand {}

  /**
   * Changes the pace of a run.
   *
   * @param run the run
   * @param percent share of its processor that the run may use
   */
  record SetCpuLimit(TaskRun run, int cpuLimitPercent) implements RunCommand {}
}
