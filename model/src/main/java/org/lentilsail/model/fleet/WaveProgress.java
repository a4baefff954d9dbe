package org.lentilsail.model.fleet;

import java.util.Set;

/**
 * Progress of a maintenance wave.
 *
 * @param wave name of the wave record
 * @param run run number in the wave record when this run started
 * @param startedMillis wall clock time of the start in ms since the Unix epoch
 * @param done VMs that have returned to service after maintenance
 * @param failed VMs that failed to return to service
 * @param halted whether failures have halted the wave
 * @param changedMillis wall clock time of the last failure, halt or resumption
 * @param finishedMillis wall clock time of the end, 0 while the wave runs
 * @param resumes number of resumptions by operators that this progress takes into account
 */
public record WaveProgress(
    String wave,
    int run,
    long startedMillis,
    Set<String> done,
    Set<String> failed,
    boolean halted,
    long changedMillis,
    long finishedMillis,
    int resumes) {

  /** Copies the sets to make the progress immutable. */
  public WaveProgress {
    done = Set.copyOf(done);
    failed = Set.copyOf(failed);
  }
}
