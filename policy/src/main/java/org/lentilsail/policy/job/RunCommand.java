package org.lentilsail.policy.job;

/** A command about a run, to be sent to its worker. */
public sealed interface RunCommand {
  /**
   * Returns the run.
   *
   * @return the run that the command applies to
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
   * Changes the CPU limit of a run.
   *
   * @param run the run
   * @param cpuLimitPercent percentage of its CPU that the run may use
   */
  record SetCpuLimit(TaskRun run, int cpuLimitPercent) implements RunCommand {}
}
