package org.lentilsail.model.job;

import java.util.List;
import java.util.Objects;
import java.util.function.UnaryOperator;

/**
 * Persisted progress of a job.
 *
 * @param state state reported to callers
 * @param finishedMillis wall clock time at which the final state was reached in ms since the Unix
 *     epoch, 0 while the job is unfinished
 * @param steps progress of the steps that have made progress
 * @param organisation name of the organisation that submitted the job, empty for none; an earlier
 *     version persisted none
 * @param droppedOccurrences number of occurrences, from the first one, that are done and of which
 *     no progress is persisted; 0 in documents of earlier versions
 */
public record JobProgress(
    JobState state,
    long finishedMillis,
    List<StepProgress> steps,
    String organisation,
    int droppedOccurrences) {

  /** Checks that only what earlier versions did not persist is missing, and copies the list. */
  public JobProgress {
    Objects.requireNonNull(state, "state");
    steps = List.copyOf(steps);
    organisation = Objects.requireNonNullElse(organisation, "");
  }

  /**
   * Returns a smaller copy without checkpoints: tasks that are started again begin anew.
   *
   * @return the copy
   */
  public JobProgress withoutCheckpoints() {
    return withSteps(StepProgress::withoutCheckpoints);
  }

  /**
   * Returns a smaller copy that has only which tasks are done: failed runs are counted anew.
   *
   * @return the copy
   */
  public JobProgress withDoneTasksOnly() {
    return withSteps(StepProgress::withDoneTasksOnly);
  }

  private JobProgress withSteps(final UnaryOperator<StepProgress> change) {
    return new JobProgress(
        state,
        finishedMillis,
        steps.stream().map(change).toList(),
        organisation,
        droppedOccurrences);
  }
}
