package org.lentilsail.worker;

/** Result of a command to a worker. */
public enum CommandResult {
  /** The command was executed. */
  DONE,
  /** A newer leader has sent commands. */
  FENCED,
  /** The run is not newer than a run that has already ended on the worker. */
  OUTDATED,
  /** The command arrived after its expiry. */
  LATE,
  /** The worker has not enough free capacity. */
  NO_ROOM,
  /** The permit of the advice service is missing or has expired. */
  NO_PERMIT,
  /** The worker does not understand the command or does not know the run. */
  INVALID,
  /** The worker is unhealthy and has not executed the command. */
  UNHEALTHY,
  /** Another worker responds at this address; the intended one has ended. */
  GONE,
  /** The command was not sent. */
  NOT_SENT,
  /** There was no response; the command may have been executed or may still be executed. */
  UNKNOWN
}
