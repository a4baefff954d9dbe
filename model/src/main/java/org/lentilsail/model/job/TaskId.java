package org.lentilsail.model.job;

import java.util.Optional;

/**
 * Identifies a task.
 *
 * @param job id of the job
 * @param occurrence number of the occurrence, 0 for a job that is not scheduled
 * @param step number of the step
 * @param index index of the task in the step
 */
public record TaskId(String job, int occurrence, int step, int index) {
  /** Number of parts of the text form. */
  private static final int PART_COUNT = 4;

  /**
   * Parses the text form.
   *
   * @param text the text
   * @return the task id, empty if the text is not a valid id
   */
  public static Optional<TaskId> parse(final String text) {
    final String[] parts = text.split("\\.");
    if (parts.length != PART_COUNT) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new TaskId(
              parts[0],
              Integer.parseInt(parts[1]),
              Integer.parseInt(parts[2]),
              Integer.parseInt(parts[3])));
    } catch (final NumberFormatException error) {
      return Optional.empty();
    }
  }

  /**
   * Returns the text form.
   *
   * @return job, occurrence, step and index, separated by dots
   */
  public String text() {
    return job + '.' + occurrence + '.' + step + '.' + index;
  }
}
