package org.lentilsail.policy.health;

/** Health of a worker, which determines how much work it may get. */
public enum HealthState {
  /** The worker takes work up to its number of slots. */
  HEALTHY,
  /** The worker has failed too often and gets no work until its back-off ends. */
  WITHDRAWN,
  /** The back-off has ended; the worker gets one request at a time until one succeeds. */
  ON_TRIAL
}
