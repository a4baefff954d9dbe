package org.lentilsail.policy.fleet;

/** State of a VM in the platform's list. */
public enum VmState {
  /** The VM exists. */
  LIVE,
  /** The platform is going to remove the VM. */
  LEAVING,
  /** The VM no longer exists. */
  GONE
}
