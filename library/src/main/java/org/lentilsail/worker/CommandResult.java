package org.lentilsail.worker;

/** Lists what can become of an order. */
public enum CommandResult {
  /** It was carried out. */
  DONE,
  /** A newer holder has given orders. */
  FENCED,
  /** The run is not newer than one that the worker has ended. */
  OUTDATED,
  /** The order arrived after its expiry. */
  LATE,
  /** The worker has no room for it. */
  NO_ROOM,
  /** The permit of the advice service is missing or has expired. */
  NO_PERMIT,
  /** The worker does not understand it, or does not know the run. */
  INVALID,
  /** The worker is unhealthy and has done nothing. */
  UNHEALTHY,
  /** Another worker answers at the address; the one that was meant has ended. */
  GONE,
  /** It was not sent. */
  NOT_SENT,
  /** There was no answer; it may have been carried out or may still be. */
  UNKNOWN
}
