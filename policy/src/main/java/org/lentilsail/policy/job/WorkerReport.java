package org.lentilsail.policy.job;

import java.util.List;

/**
 * What a worker lists of its runs.
 *
 * @param clockMillis clock of the worker in ms
 * @param bornMillis wall clock time of the worker's start in ms since the Unix epoch, 0 when not
 *     reported
 * @param running runs that have not ended
 * @param ended ends that have not been acknowledged
 */
public record WorkerReport(
    long clockMillis, long startTimeMillis, List<ActiveRun> running, List<FinishedRun> finished) {

  /** Copies the lists, so that the answer cannot change. */
  public WorkerReport {
    running = List.copyOf(running);
    finished = List.copyOf(finished);
  }
}
