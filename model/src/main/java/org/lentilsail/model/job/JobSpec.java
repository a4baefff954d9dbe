package org.lentilsail.model.job;

import java.util.List;

/**
 * Describes a job as it was submitted.
 *
 * @param id id that the caller has chosen, 16 hexadecimal digits
 * @param text what the workers are told to run
 * @param steps steps in the order of their numbers
 * @param maxRuns number of occurrences, 0 for a job without due times
 * @param firstRunMillis due time of occurrence 0 in ms since the Unix epoch
 * @param intervalMillis time between occurrences in ms
 */
public record JobSpec(
    String id,
    String text,
    List<StepSpec> steps,
    int maxRuns,
    long firstRunMillis,
    long intervalMillis) {

  /** Copies the list, so that the job cannot change. */
  public JobSpec {
    steps = List.copyOf(steps);
  }

  /**
   * Tells whether the job runs at due times.
   *
   * @return whether it has occurrences
   */
  public boolean timed() {
    return maxRuns > 0;
  }
}
