package org.lentilsail.model.job;

/** State of a machine. */
public enum MachineState {
  /** The machine is in operation. */
  UP,
  /** The machine is being moved to another pool. */
  MOVING,
  /** The machine is under maintenance. */
  UPKEEP,
  /** The machine is out of operation. */
  DOWN
}
