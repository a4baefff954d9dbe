package org.lentilsail.standin.platform;

/**
 * A fault that is in force.
 *
 * @param mode what goes wrong
 * @param delayMillis delay of each call in ms, for slow calls
 */
record Fault(FaultMode mode, long delayMillis) {
  /** No fault. */
  static final Fault NONE = new Fault(FaultMode.OK, 0);
}
