package org.lentilsail.worker;

/** Lists what can become of an order to a machine. */
public enum MachineCommandResult {
  /** It was carried out, now or before. */
  DONE,
  /** A newer holder has given orders. */
  FENCED,
  /** The machine is not up or is about to leave. */
  BUSY,
  /** The machine does not belong to the wave. */
  NOT_IN_WAVE,
  /** There is no such machine, or it cannot go to that pool. */
  INVALID,
  /** The platform does not take the order now and has done nothing. */
  NOT_NOW,
  /** There was no answer; the order may have been carried out. */
  UNKNOWN
}
