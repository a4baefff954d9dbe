package org.lentilsail.http;

/** Reasons why a call received no complete response. */
public enum HttpFailure {
  /** No connection could be opened. */
  CONNECT,
  /** The connection failed or was closed before the response was complete. */
  BROKEN,
  /** The timeout of the call expired. */
  TIMEOUT,
  /** The response body exceeds the size limit. */
  TOO_LARGE,
  /** The call was cancelled. */
  CANCELLED
}
