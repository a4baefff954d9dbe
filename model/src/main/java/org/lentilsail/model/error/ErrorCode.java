package org.lentilsail.model.error;

import java.util.Locale;

/** Error codes, with the HTTP status and the exit code that report them. */
public enum ErrorCode {
  /** A record, a flag or a request is invalid. */
  INVALID_INPUT(400, 2),
  /** A settings file has faults. */
  INVALID_SETTINGS(400, 2),
  /** A referenced record, VM or service does not exist. */
  NOT_FOUND(404, 3),
  /** The record has changed since the revision that an update is based on. */
  CONFLICT(409, 4),
  /** A request body or header is larger than the limit. */
  TOO_LARGE(413, 2),
  /** The idempotency key was used with a different request before. */
  KEY_REUSED(422, 2),
  /** The idempotency key is not a UUIDv7. */
  KEY_INVALID(400, 2),
  /** The time in the idempotency key is after the end of the ownership term of its key range. */
  KEY_FROM_FUTURE(503, 5),
  /** The idempotency key is older than the period for which its owner retains outcomes. */
  KEY_TOO_OLD(504, 6),
  /** The owner of the idempotency key is gone or cannot be reached. */
  KEY_OWNER_UNREACHABLE(504, 6),
  /** The request with this key has already run and its response is no longer cached. */
  ALREADY_RAN(409, 0),
  /** The daemon has no configuration yet. */
  NO_CONFIGURATION(503, 5),
  /** No worker can take the request before its deadline. */
  OVERLOADED(503, 5),
  /** No worker of the service can be reached. */
  NO_WORKER(503, 5),
  /** The daemon is stopping and takes no new requests. */
  STOPPING(503, 5),
  /** The platform does not respond. */
  PLATFORM_UNAVAILABLE(503, 5),
  /** A request or write may or may not have taken effect. */
  OUTCOME_UNKNOWN(504, 6),
  /** A backend server did not send a complete response. */
  BACKEND_FAILED(502, 6),
  /** A backend server's response is larger than the limit. */
  ANSWER_TOO_LARGE(502, 6),
  /** A peer sent a frame that is truncated, too long or not MessagePack. */
  BAD_FRAME(400, 7),
  /** No daemon responds to the command line client. */
  DAEMON_UNREACHABLE(503, 5),
  /** A defect in lentilsail itself. */
  INTERNAL(500, 70);

  /** HTTP status that reports this error. */
  private final int httpStatus;

  /** Exit code of the command line for this error. */
  private final int exitCode;

  ErrorCode(final int httpStatus, final int exitCode) {
    this.httpStatus = httpStatus;
    this.exitCode = exitCode;
  }

  /**
   * Returns the HTTP status that reports this error.
   *
   * @return the HTTP status
   */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Returns the exit code of the command line for this error.
   *
   * @return the exit code
   */
  public int exitCode() {
    return exitCode;
  }

  /**
   * Returns the code in the form used in JSON bodies: lower case with hyphens.
   *
   * @return the text form of this code
   */
  public String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
