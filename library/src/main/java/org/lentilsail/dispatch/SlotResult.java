package org.lentilsail.dispatch;

/** Outcome of a request that used a slot. */
public enum SlotResult {
  /** The worker sent a complete response that is not a failure. */
  OK,
  /** The worker sent a complete response with a status of 500 or higher. */
  FAILED,
  /** The worker rejected the request and confirmed that it did not run. */
  REFUSED,
  /** The connection to the worker could not be opened, or broke. */
  CONNECTION_FAILED,
  /** The worker did not respond in time. */
  TIMEOUT,
  /** The caller cancelled the request or disconnected. */
  CANCELLED
}
