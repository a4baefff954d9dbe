package org.lentilsail.worker;

/** Result of a command to a machine. */
public enum MachineCommandResult {
  /** The command was executed, now or before. */
  DONE,
  /** A newer leader has sent commands. */
  FENCED,
  /** The machine is not up or is about to be removed. */
  BUSY,
  /** The machine does not belong to the wave. */
  NOT_IN_WAVE,
  /** There is no such machine, or it cannot be moved to that pool. */
  INVALID,
  /** The platform does not accept the command now and has not executed it. */
  NOT_NOW,
  /** There was no response; the command may have been executed. */
  UNKNOWN
}
