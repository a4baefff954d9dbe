package org.lentilsail.standin.jobs;

/** Lists the faults that can be injected between a daemon and the store. */
public enum StoreFault {
  /** No fault. */
  NONE,
  /** Requests are refused and not executed. */
  REFUSED,
  /** Requests get no response and are not executed. */
  SILENT,
  /** Requests are executed but get no response. */
  ANSWERS_LOST,
  /** Requests are executed two seconds late and get no response. */
  LATE
}
