package org.lentilsail.model.job;

import java.util.List;
import java.util.Objects;

/**
 * Specification of a submitted job. Each execution of a scheduled job is an occurrence.
 *
 * @param id id chosen by the caller, 16 hexadecimal digits
 * @param text text that tells the workers what to run
 * @param steps steps, ordered by number
 * @param maxRuns number of occurrences, 0 for a job that is not scheduled
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

  /** Checks the id, and copies the list to make the specification immutable. */
  public JobSpec {
    Objects.requireNonNull(id, "id");
    steps = List.copyOf(steps);
  }

  /**
   * Returns whether the job is scheduled, that is, runs at due times.
   *
   * @return whether it has a schedule of occurrences
   */
  public boolean timed() {
    return maxRuns > 0;
  }
}
