package org.lentilsail.policy.fleet;

/** Tells how the platform's list describes a VM. */
public enum VmState {
  /** The VM exists. */
  LIVE,
  /** The platform is going to take the VM away. */
  LEAVING,
  /** The VM no longer exists. */
  GONE
}
