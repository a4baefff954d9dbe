package org.lentilsail.policy.job;

/**
 * Whether and why the quota of its organisation holds back a step. Of several reasons at one job
 * the later constant is reported.
 */
public enum QuotaHold {
  /** The quota permits to start the step. */
  NONE,
  /** The organisation uses too much of its limit at present. */
  LIMIT_IN_USE,
  /** A task of the step, or the whole gang, needs more than the limit. */
  EXCEEDS_LIMIT,
  /** No configuration has been received, so the limit is not known. */
  LIMIT_UNKNOWN
}
