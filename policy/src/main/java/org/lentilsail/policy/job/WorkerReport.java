package org.lentilsail.policy.job;

import java.util.List;

/**
 * Status report of a worker about its runs.
 *
 * @param clockMillis clock of the worker in ms
 * @param startTimeMillis wall clock time of the worker's start in ms since the Unix epoch, 0 if not
 *     reported
 * @param running runs that have not finished
 * @param finished finished runs that have not been acknowledged
 * @param complete whether the lists have all runs; a worker lists a limited number of finished runs
 *     and the next ones once these are acknowledged, so a run that an incomplete report lacks may
 *     have finished
 */
public record WorkerReport(
    long clockMillis,
    long startTimeMillis,
    List<ActiveRun> running,
    List<FinishedRun> finished,
    boolean complete) {

  /** Copies the lists to make the report immutable. */
  public WorkerReport {
    running = List.copyOf(running);
    finished = List.copyOf(finished);
  }

  /**
   * Creates a complete report.
   *
   * @param clockMillis clock of the worker in ms
   * @param startTimeMillis wall clock time of the worker's start in ms since the Unix epoch
   * @param running runs that have not finished
   * @param finished finished runs that have not been acknowledged
   */
  public WorkerReport(
      final long clockMillis,
      final long startTimeMillis,
      final List<ActiveRun> running,
      final List<FinishedRun> finished) {
    this(clockMillis, startTimeMillis, running, finished, true);
  }
}
