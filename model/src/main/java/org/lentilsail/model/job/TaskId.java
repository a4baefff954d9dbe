package org.lentilsail.model.job;

import java.util.Optional;

/**
 * Names a task.
 *
 * @param job id of the job
 * @param occurrence number of the occurrence, 0 for a job without due times
 * @param step number of the step
 * @param index number of the task in the step
 */
public record TaskId(String job, int occurrence, int step, int index) {
  /** Parts of the text form. */
  private static final int PARTS = 4;

  /**
   * Reads the text form.
   *
   * @param text the text
   * @return the task, empty when the text names none
   */
  public static Optional<TaskId> parse(final String text) {
    final String[] parts = text.split("\\.");
    if (parts.length != PARTS) {
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
   * @return job, occurrence, step and index, separated by points
   */
  public String text() {
    return job + '.' + occurrence + '.' + step + '.' + index;
  }
}
