package org.lentilsail.http;

/** Lists why a call gave no complete response. */
public enum HttpFailure {
  /** No connection could be opened. */
  CONNECT,
  /** The connection failed or was closed before the response was complete. */
  BROKEN,
  /** The time of the call ran out. */
  TIMEOUT,
  /** The response is larger than the limit. */
  TOO_LARGE,
  /** The caller cancelled the call. */
  CANCELLED
}
