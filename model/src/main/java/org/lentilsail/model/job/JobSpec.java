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
   * Returns a copy without text and steps.
   *
   * @return the copy
   */
  public JobSpec withoutContent() {
    return new JobSpec(id, "", List.of(), maxRuns, firstRunMillis, intervalMillis);
  }

  /**
   * Returns whether an occurrence is due.
   *
   * @param occurrence number of the occurrence
   * @param wallMillis wall clock time in ms since the Unix epoch
   * @return whether its due time has come; a job that is not scheduled is due at once
   */
  public boolean isDue(final int occurrence, final long wallMillis) {
    if (!timed()) {
      return true;
    }
    final long elapsed = wallMillis - firstRunMillis;
    return elapsed >= 0
        && (intervalMillis <= 0 || occurrence == 0 || elapsed / intervalMillis >= occurrence);
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
