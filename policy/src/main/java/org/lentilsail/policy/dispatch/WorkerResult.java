package org.lentilsail.policy.dispatch;

/** Indicates what the outcome of a request shows about its worker. */
public enum WorkerResult {
  /** The worker served the request. */
  OK,
  /** The worker failed or refused the request, or did not answer. */
  FAILED,
  /** The outcome shows nothing about the worker. */
  NEUTRAL
}
