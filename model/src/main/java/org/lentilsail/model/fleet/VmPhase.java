package org.lentilsail.model.fleet;

/** Phase of a VM on its way out of service or back. */
public enum VmPhase {
  /** The VM accepts requests. */
  IN_SERVICE,
  /** The VM gets no new requests; running requests finish. */
  DRAINING,
  /** Nothing runs on the VM and nothing is sent to it. */
  STOPPED,
  /** The platform reboots the VM. */
  REBOOTING,
  /** The VM gets one request at a time until enough responses have verified it. */
  VERIFYING,
  /** An operator has drained the VM and has not yet returned it to service. */
  HELD,
  /** The VM is gone. */
  LOST
}
