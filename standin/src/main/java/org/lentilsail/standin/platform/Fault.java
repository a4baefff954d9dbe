package org.lentilsail.standin.platform;

/**
 * A fault in effect.
 *
 * @param mode kind of the fault
 * @param delayMillis delay of each request in ms for {@link FaultMode#SLOW}
 */
record Fault(FaultMode mode, long delayMillis) {
  /** No fault. */
  static final Fault NONE = new Fault(FaultMode.OK, 0);
}
