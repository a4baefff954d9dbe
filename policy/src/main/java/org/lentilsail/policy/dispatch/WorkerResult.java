package org.lentilsail.policy.dispatch;

/** Tells what the end of a request says about its worker. */
public enum WorkerResult {
  /** The worker served the request. */
  OK,
  /** The worker failed, refused or did not answer. */
  FAILED,
  /** The end says nothing about the worker. */
  NEUTRAL
}
