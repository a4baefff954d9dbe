package org.lentilsail.model.fleet;

/** Tells how far a VM is on its way out of service or back. */
public enum VmPhase {
  /** The VM takes requests. */
  IN_SERVICE,
  /** The VM gets no new work; what runs on it ends. */
  DRAINING,
  /** Nothing runs on the VM and nothing is sent to it. */
  STOPPED,
  /** The platform reboots the VM. */
  REBOOTING,
  /** The VM gets one request at a time until it has proved that it works. */
  VERIFYING,
  /** An operator has drained the VM and has not returned it. */
  HELD,
  /** The VM is gone. */
  LOST
}
