package org.lentilsail.standin.jobs;

/** Lists what can be wrong between a daemon and the store. */
public enum StoreFault {
  /** Nothing is wrong. */
  NONE,
  /** Calls are refused; nothing is done. */
  REFUSED,
  /** Calls are not answered; nothing is done. */
  SILENT,
  /** Calls are carried out and not answered. */
  ANSWERS_LOST,
  /** Calls are carried out two seconds late and not answered. */
  LATE
}
