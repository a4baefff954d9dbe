package org.lentilsail.policy.dispatch;

/** Tells why a demand gets no slot; the request has not run in any of these cases. */
public enum RefusalReason {
  /** The queue is full. */
  QUEUE_FULL,
  /** The expected start lies past the caller's deadline, or the deadline has passed. */
  DEADLINE,
  /** No worker may take the request. */
  NO_WORKER,
  /** The request has failed on too many workers. */
  STOPPED
}
