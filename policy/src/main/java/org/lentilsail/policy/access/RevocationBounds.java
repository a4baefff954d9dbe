package org.lentilsail.policy.access;

/**
 * Settings for the removal of keys.
 *
 * @param strict whether a removed key must have no effect after the bound on any daemon, also on
 *     one that does not reach the store
 * @param revokeMillis time in ms after which a removed key must have no effect
 */
public record RevocationBounds(boolean strict, long revokeMillis) {
  /** Bounds of a deployment whose settings name none. */
  public static final RevocationBounds DEFAULT = new RevocationBounds(false, 5_000);

  /**
   * Fraction of the bound up to which a configuration may be used. The rest is the margin for a VM
   * whose clocks run slow; 2% are assumed elsewhere, and readings are up to 2 ms apart.
   */
  private static final double USABLE_FRACTION = 0.9;

  /**
   * Maximum age in ms of a configuration for which an unknown key is rejected as unknown. With
   * watches of 1.5 s the age is up to 3.0 s in normal operation. A key may have been added since;
   * deployments require that it is known on connected daemons within 2 to 4 s.
   */
  private static final long MAX_UNKNOWN_KEY_AGE_MILLIS = 3_200;

  /**
   * Returns the age up to which a configuration may be used if the bounds are strict.
   *
   * @return the age in ms
   */
  public long maxAgeMillis() {
    return (long) (revokeMillis * USABLE_FRACTION);
  }

  /**
   * Returns the age of the configuration up to which a key that it lacks counts as unknown.
   *
   * @return the age in ms
   */
  public long maxUnknownKeyAgeMillis() {
    return Math.min(maxAgeMillis(), MAX_UNKNOWN_KEY_AGE_MILLIS);
  }
}
