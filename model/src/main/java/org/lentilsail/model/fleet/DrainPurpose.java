package org.lentilsail.model.fleet;

/** Tells why a VM is out of service. */
public enum DrainPurpose {
  /** The VM is in service. */
  NONE,
  /** A maintenance wave reboots the VM. */
  MAINTENANCE,
  /** The VM changes pools. */
  MOVE,
  /** An operator drained the VM. */
  OPERATOR,
  /** The platform takes the VM away. */
  LEAVING
}
