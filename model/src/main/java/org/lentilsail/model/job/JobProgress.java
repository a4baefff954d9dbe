package org.lentilsail.model.job;

import java.util.List;

/**
 * Persisted progress of a job.
 *
 * @param state state reported to callers
 * @param finishedMillis wall clock time at which the final state was reached in ms since the Unix
 *     epoch, 0 while the job is unfinished
 * @param steps progress of the steps that have made progress
 */
public record JobProgress(JobState state, long finishedMillis, List<StepProgress> steps) {

  /** Copies the list to make the progress immutable. */
  public JobProgress {
    steps = List.copyOf(steps);
  }
}
