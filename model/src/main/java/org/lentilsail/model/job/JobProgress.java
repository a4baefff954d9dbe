package org.lentilsail.model.job;

import java.util.List;

/**
 * How far a job has come, as it is kept.
 *
 * @param state state shown to callers
 * @param finishedMillis wall clock time of the final state in ms since the Unix epoch, 0 before it
 * @param steps progress of the steps that have any
 */
public record JobProgress(JobState state, long finishedMillis, List<StepProgress> steps) {

  /** Copies the list, so that the progress cannot change. */
  public JobProgress {
    steps = List.copyOf(steps);
  }
}
