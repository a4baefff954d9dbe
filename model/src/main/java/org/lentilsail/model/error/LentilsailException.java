package org.lentilsail.model.error;

/** Reports a failure by its code, what happened, and what the reader can do about it. */
public class LentilsailException extends RuntimeException {
  /** Kind of the failure. */
  private final ErrorCode code;

  /** What the reader can do about the failure. */
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
