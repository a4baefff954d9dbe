package org.lentilsail.entry;

import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletionException;
import org.lentilsail.dispatch.SlotResult;
import org.lentilsail.http.HttpCallException;
import org.lentilsail.http.HttpFailure;
import org.lentilsail.http.HttpResponse;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/**
 * Result of one attempt on a worker.
 *
 * @param status how the attempt ended
 * @param slotResult result that is reported to the dispatcher
 * @param error reason why there is no response, null with a response
 */
record AttemptResult(AttemptStatus status, SlotResult slotResult, Throwable error) {
  /** Status with which a backend server confirms that a request did not run. */
  private static final int UNAVAILABLE = 503;

  /** Lowest HTTP status that counts as a failure. */
  private static final int MIN_FAILURE_STATUS = 500;

  /** Returns the result for a complete response. */
  static AttemptResult of(final HttpResponse response) {
    final AttemptResult result;
    if (response.status() == UNAVAILABLE
        && response.field(Outcome.FIELD).filter(Outcome.NOT_RUN.text()::equals).isPresent()) {
      result =
          new AttemptResult(
              AttemptStatus.PROVED_NOT_RUN,
              SlotResult.REFUSED,
              new LentilsailException(
                  ErrorCode.NO_WORKER,
                  "the backend servers rejected the request because they are draining",
                  "repeat the request"));
    } else {
      final boolean failed = response.status() >= MIN_FAILURE_STATUS;
      result =
          new AttemptResult(
              AttemptStatus.ANSWERED, failed ? SlotResult.FAILED : SlotResult.OK, null);
    }
    return result;
  }

  /**
   * Returns the result for a call without a complete response; an unexpected error counts as {@code
   * LOST}.
   */
  static AttemptResult of(final Throwable thrown) {
    final Throwable error = unwrap(thrown);
    final AttemptResult result;
    if (error instanceof HttpCallException failure) {
      final AttemptStatus status = failure.written() ? AttemptStatus.LOST : AttemptStatus.NOT_SENT;
      result = new AttemptResult(status, slotResult(failure.failure()), toException(failure));
    } else if (error instanceof CancellationException) {
      result = new AttemptResult(AttemptStatus.LOST, SlotResult.CANCELLED, error);
    } else {
      result = new AttemptResult(AttemptStatus.LOST, SlotResult.CONNECTION_FAILED, error);
    }
    return result;
  }

  static Throwable unwrap(final Throwable thrown) {
    return thrown instanceof CompletionException && thrown.getCause() != null
        ? thrown.getCause()
        : thrown;
  }

  private static SlotResult slotResult(final HttpFailure failure) {
    return switch (failure) {
      case TIMEOUT -> SlotResult.TIMEOUT;
      case CANCELLED -> SlotResult.CANCELLED;
      case TOO_LARGE -> SlotResult.OK;
      case CONNECT, BROKEN -> SlotResult.CONNECTION_FAILED;
    };
  }

  private static LentilsailException toException(final HttpCallException failure) {
    return failure.failure() == HttpFailure.TOO_LARGE
        ? new LentilsailException(
            ErrorCode.ANSWER_TOO_LARGE,
            failure.getMessage(),
            "ask the service for a smaller response")
        : failure;
  }
}
