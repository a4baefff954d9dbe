package org.lentilsail.policy.control;

/** Lists what control asks the platform to do with a VM. */
public enum Operation {
  /** Refuse new work and let running work end. */
  DRAIN,
  /** Take work again. */
  UNDRAIN,
  /** Boot again. */
  REBOOT,
  /** Save running work. */
  CHECKPOINT
}
