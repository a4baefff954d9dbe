package org.lentilsail.policy.control;

/** Operations on a VM that the leader requests from the platform. */
public enum Operation {
  /** Reject new requests and let running requests finish. */
  DRAIN,
  /** Accept requests again. */
  UNDRAIN,
  /** Reboot the VM. */
  REBOOT,
  /** Save the state of running work. */
  CHECKPOINT
}
