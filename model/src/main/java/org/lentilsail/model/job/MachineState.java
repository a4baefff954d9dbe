package org.lentilsail.model.job;

/** Lists the states of a machine. */
public enum MachineState {
  /** It works. */
  UP,
  /** It is on its way to another pool. */
  MOVING,
  /** It is being maintained. */
  UPKEEP,
  /** It does not work. */
  DOWN
}
