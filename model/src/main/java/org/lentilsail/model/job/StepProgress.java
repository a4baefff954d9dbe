package org.lentilsail.model.job;

import java.util.Map;

/**
 * Persisted progress of the tasks of one step in one occurrence of a job.
 *
 * @param occurrence number of the occurrence
 * @param step number of the step
 * @param doneBits bit set of the indexes of finished tasks
 * @param failures number of failed runs, by task index
 * @param checkpoints last checkpoint, by task index
 */
public record StepProgress(
    int occurrence,
    int step,
    long[] doneBits,
    Map<Integer, Integer> failures,
    Map<Integer, String> checkpoints) {

  /** Copies the array and the maps to make the progress immutable. */
  public StepProgress {
    doneBits = doneBits.clone();
    failures = Map.copyOf(failures);
    checkpoints = Map.copyOf(checkpoints);
  }

  @Override
  public long[] doneBits() {
    return doneBits.clone();
  }
}
