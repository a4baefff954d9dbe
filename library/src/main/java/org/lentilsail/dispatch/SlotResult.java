package org.lentilsail.dispatch;

/** Tells how the use of a slot ended. */
public enum SlotResult {
  /** The worker gave a complete response that is not a failure. */
  OK,
  /** The worker gave a complete response with a status of 500 or higher. */
  FAILED,
  /** The worker refused with proof that the request did not run. */
  REFUSED,
  /** The worker could not be reached, or broke off. */
  CONNECTION_FAILED,
  /** The worker did not answer in time. */
  TIMEOUT,
  /** The caller left. */
  CANCELLED
}
