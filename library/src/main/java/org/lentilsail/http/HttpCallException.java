package org.lentilsail.http;

import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** Reports that a call gave no complete response, and whether the server may have seen it. */
public final class HttpCallException extends LentilsailException {
  /** Why the call failed. */
  private final HttpFailure failure;

  /** Whether any byte of the request may have been written. */
  private final boolean written;

  /**
   * Creates an exception.
   *
   * @param failure why the call failed
   * @param written whether any byte of the request may have been written
   * @param message what happened
   */
  public HttpCallException(final HttpFailure failure, final boolean written, final String message) {
    super(
        written ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.BACKEND_FAILED,
        message,
        "check that the server runs and that the network reaches it");
    this.failure = failure;
    this.written = written;
  }

  /**
   * Returns why the call failed.
   *
   * @return the failure
   */
  public HttpFailure failure() {
    return failure;
  }

  /**
   * Tells whether any byte of the request may have been written.
   *
   * @return false when the server certainly has not seen the request
   */
  public boolean written() {
    return written;
  }
}
