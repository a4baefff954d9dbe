package org.lentilsail.entry;

/** Tells how one attempt to run a request ended. */
public enum AttemptStatus {
  /** No slot was granted. */
  NO_SLOT,
  /** No byte was written to the worker. */
  NOT_SENT,
  /** The worker proved that it did not run the request. */
  PROVED_NOT_RUN,
  /** Bytes were written and no complete response came. */
  LOST,
  /** The worker gave a complete response. */
  ANSWERED
}
