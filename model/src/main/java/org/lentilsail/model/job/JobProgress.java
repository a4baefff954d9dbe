package org.lentilsail.model.job;

import java.util.List;
import java.util.Objects;

/**
 * Persisted progress of a job.
 *
 * @param state state reported to callers
 * @param finishedMillis wall clock time at which the final state was reached in ms since the Unix
 *     epoch, 0 while the job is unfinished
 * @param steps progress of the steps that have made progress
 * @param organisation name of the organisation that submitted the job, empty for none; an earlier
 *     version persisted none
 */
public record JobProgress(
    JobState state, long finishedMillis, List<StepProgress> steps, String organisation) {

  /** Checks that only what earlier versions did not persist is missing, and copies the list. */
  public JobProgress {
    Objects.requireNonNull(state, "state");
    steps = List.copyOf(steps);
    organisation = Objects.requireNonNullElse(organisation, "");
  }
}
