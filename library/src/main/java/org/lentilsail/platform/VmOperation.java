package org.lentilsail.platform;

import java.util.Locale;

/** Operations of the platform on a VM. */
public enum VmOperation {
  /** Completes running work and rejects new work. */
  DRAIN,
  /** Accepts work again. */
  UNDRAIN,
  /** Reboots the VM. */
  REBOOT,
  /** Saves running work, so that it continues after a reboot. */
  CHECKPOINT;

  /**
   * Returns the operation as used in the paths of the platform's HTTP API.
   *
   * @return the name in lower case
   */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
