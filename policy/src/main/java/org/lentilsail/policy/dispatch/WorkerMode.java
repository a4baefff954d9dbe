package org.lentilsail.policy.dispatch;

/** Tells how the fleet document wants a worker to be used. */
public enum WorkerMode {
  /** The worker takes work in all its slots. */
  OPEN,
  /** The worker takes one request at a time until it has proved that it works. */
  VERIFYING,
  /** The worker gets no new work; what runs on it ends. */
  DRAINING
}
