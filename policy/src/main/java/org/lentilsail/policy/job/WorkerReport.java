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
 */
public record WorkerReport(
    long clockMillis, long startTimeMillis, List<ActiveRun> running, List<FinishedRun> finished) {

  /** Copies the lists to make the report immutable. */
  public WorkerReport {
    running = List.copyOf(running);
    finished = List.copyOf(finished);
  }
}
