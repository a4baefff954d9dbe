package org.lentilsail.model.error;

/** A failure with an error code, a message and a remedy for its reader. */
public class LentilsailException extends RuntimeException {
  private final ErrorCode code;

  private final String remedy;

  /**
   * Creates an exception without a cause.
   *
   * @param code kind of the failure
   * @param message what happened
   * @param remedy what the reader can do
   */
  public LentilsailException(final ErrorCode code, final String message, final String remedy) {
    super(message);
    this.code = code;
    this.remedy = remedy;
  }

  /**
   * Creates an exception with a cause.
   *
   * @param code kind of the failure
   * @param message what happened
   * @param remedy what the reader can do
   * @param cause the underlying failure
   */
  public LentilsailException(
      final ErrorCode code, final String message, final String remedy, final Throwable cause) {
    super(message, cause);
    this.code = code;
    this.remedy = remedy;
  }

  /**
   * Returns the kind of the failure.
   *
   * @return the code
   */
  public ErrorCode code() {
    return code;
  }

  /**
   * Returns what the reader can do about the failure.
   *
   * @return the remedy
   */
  public String remedy() {
    return remedy;
  }
}
