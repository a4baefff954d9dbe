package org.lentilsail.model.job;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Persisted progress of the tasks of one step in one occurrence of a job.
 *
 * @param occurrence number of the occurrence
 * @param step number of the step
 * @param doneBits bit set of the indexes of finished tasks
 * @param failures number of failed runs, by task index
 * @param failedRuns numbers of the failed runs, by task index, so that a run that is reported again
 *     to a later leader is not counted twice; absent in documents of earlier versions
 * @param checkpoints last checkpoint, by task index
 */
public record StepProgress(
    int occurrence,
    int step,
    long[] doneBits,
    Map<Integer, Integer> failures,
    Map<Integer, List<Integer>> failedRuns,
    Map<Integer, String> checkpoints) {

  /** Copies the array and the maps to make the progress immutable. */
  public StepProgress {
    doneBits = doneBits.clone();
    failures = Map.copyOf(failures);
    failedRuns =
        failedRuns == null
            ? Map.of()
            : failedRuns.entrySet().stream()
                .collect(
                    Collectors.toUnmodifiableMap(
                        Map.Entry::getKey, entry -> List.copyOf(entry.getValue())));
    checkpoints = Map.copyOf(checkpoints);
  }

  /**
   * Returns a copy without checkpoints.
   *
   * @return the copy
   */
  public StepProgress withoutCheckpoints() {
    return new StepProgress(occurrence, step, doneBits, failures, failedRuns, Map.of());
  }

  /**
   * Returns a copy without checkpoints and failed runs.
   *
   * @return the copy
   */
  public StepProgress withDoneTasksOnly() {
    return new StepProgress(occurrence, step, doneBits, Map.of(), Map.of(), Map.of());
  }

  @Override
  public long[] doneBits() {
    return doneBits.clone();
  }
}
