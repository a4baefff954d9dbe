package org.lentilsail.model.job;

import java.util.Map;

/**
 * What is kept of the tasks of one step of one occurrence.
 *
 * @param occurrence number of the occurrence
 * @param step number of the step
 * @param doneBits bit set of the tasks that are done
 * @param failures failed runs by number of the task
 * @param checkpoints last checkpoint by number of the task
 */
public record StepProgress(
    int occurrence,
    int step,
    long[] doneBits,
    Map<Integer, Integer> failures,
    Map<Integer, String> checkpoints) {

  /** Copies the containers, so that the progress cannot change. */
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
