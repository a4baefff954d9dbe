package org.lentilsail.entry;

/** How one attempt to run a request ended. */
public enum AttemptStatus {
  /** No slot was granted. */
  NO_SLOT,
  /** No byte was written to the worker. */
  NOT_SENT,
  /** The worker confirmed that it did not run the request. */
  PROVED_NOT_RUN,
  /** Bytes were written and no complete response arrived. */
  LOST,
  /** The worker sent a complete response. */
  ANSWERED
}
