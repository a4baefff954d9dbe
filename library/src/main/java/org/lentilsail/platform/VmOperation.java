package org.lentilsail.platform;

import java.util.Locale;

/** Lists what the platform can do with a VM. */
public enum VmOperation {
  /** Lets running work end and refuses new work. */
  DRAIN,
  /** Takes work again. */
  UNDRAIN,
  /** Boots the VM again. */
  REBOOT,
  /** Saves running work, so that it continues after a reboot. */
  CHECKPOINT;

  /**
   * Returns the operation as it stands in the platform's paths.
   *
   * @return the name in lower case
   */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
