package org.lentilsail.http;

import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/**
 * Signals that a call received no complete response, and whether the server may have received the
 * request.
 */
public final class HttpCallException extends LentilsailException {
  private final HttpFailure failure;

  private final boolean written;

  /**
   * Creates an exception.
   *
   * @param failure cause of the failure
   * @param written whether any byte of the request may have been written
   * @param message description of the failure
   */
  public HttpCallException(final HttpFailure failure, final boolean written, final String message) {
    super(
        written ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.BACKEND_FAILED,
        message,
        "check that the server is running and reachable");
    this.failure = failure;
    this.written = written;
  }

  /**
   * Returns the cause of the failure.
   *
   * @return the cause
   */
  public HttpFailure failure() {
    return failure;
  }

  /**
   * Returns whether any byte of the request may have been written.
   *
   * @return false only if the server cannot have received any part of the request
   */
  public boolean written() {
    return written;
  }
}
