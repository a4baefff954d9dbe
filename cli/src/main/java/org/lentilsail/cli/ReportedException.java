package org.lentilsail.cli;

import org.lentilsail.model.error.LentilsailException;

/** Propagates the exit code of a failure that the command has already printed. */
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
