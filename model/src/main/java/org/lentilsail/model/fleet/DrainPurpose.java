package org.lentilsail.model.fleet;

/** Reason why a VM is out of service. */
public enum DrainPurpose {
  /** The VM is in service. */
  NONE,
  /** A maintenance wave reboots the VM. */
  MAINTENANCE,
  /** The VM moves to another pool. */
  MOVE,
  /** An operator drained the VM. */
  OPERATOR,
  /** The platform is going to remove the VM. */
  LEAVING
}
