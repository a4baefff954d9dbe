package org.lentilsail.policy.dispatch;

/** Reason why a request is refused a slot. The request has not run in any of these cases. */
public enum RefusalReason {
  /** The queue is full. */
  QUEUE_FULL,
  /** The expected start is after the caller's deadline, or the deadline has passed. */
  DEADLINE,
  /** No worker may be used for the request. */
  NO_WORKER,
  /** The request has failed on too many workers. */
  STOPPED
}
