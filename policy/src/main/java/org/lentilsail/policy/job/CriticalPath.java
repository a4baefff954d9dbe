package org.lentilsail.policy.job;

import java.util.List;
import java.util.function.IntToLongFunction;
import org.lentilsail.model.job.StepSpec;

/** Computes the critical path of a job, the longest chain of dependent steps. */
final class CriticalPath {
  private CriticalPath() {}

  /**
   * Returns the length of the critical path through the dependencies between steps.
   *
   * @param steps the steps of the job
   * @param durationMillis duration in ms of the step with a number
   * @return duration in ms
   */
  static long millis(final List<StepSpec> steps, final IntToLongFunction durationMillis) {
    long longest = 0;
    final long[] finishMillis = new long[steps.size()];
    for (int i = 0; i < finishMillis.length; i++) {
      long startMillis = 0;
      for (final int dependency : steps.get(i).after()) {
        startMillis = Math.max(startMillis, finishMillis[dependency]);
      }
      finishMillis[i] = startMillis + durationMillis.applyAsLong(i);
      longest = Math.max(longest, finishMillis[i]);
    }
    return longest;
  }
}
