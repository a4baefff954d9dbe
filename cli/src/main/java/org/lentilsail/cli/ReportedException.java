package org.lentilsail.cli;

import org.lentilsail.model.error.LentilsailException;

/** Carries the exit code of a failure that the command has printed already. */
final class ReportedException extends LentilsailException {
  /**
   * Creates an exception.
   *
   * @param cause the first failure of the command
   */
  ReportedException(final LentilsailException cause) {
    super(cause.code(), cause.getMessage(), cause.remedy(), cause);
  }
}
