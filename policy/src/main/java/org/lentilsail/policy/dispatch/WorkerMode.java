package org.lentilsail.policy.dispatch;

/** Mode of a worker that the fleet document prescribes. */
public enum WorkerMode {
  /** The worker gets requests in all its slots. */
  OPEN,
  /** The worker gets one request at a time until enough responses have verified it. */
  VERIFYING,
  /** The worker gets no new requests; running requests finish. */
  DRAINING
}
