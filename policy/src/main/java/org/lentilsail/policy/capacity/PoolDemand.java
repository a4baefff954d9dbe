package org.lentilsail.policy.capacity;

/**
 * Tracks the VMs that a pool requires and its shortage or surplus of VMs. The recent maximum of
 * required VMs covers a sliding window, of which only the maximum of each half is kept.
 */
final class PoolDemand {
  private static final double MILLIS_PER_SECOND = 1_000;

  private int requiredVms;

  /** Maximum number of VMs required in the current half of the window. */
  private int currentMaximum;

  /** Maximum number of VMs required in the previous half of the window. */
  private int previousMaximum;

  /** Wall clock time at which the current half of the window started. */
  private long halfStartedMillis;

  /** Shortage in VM-seconds since the pool last had enough VMs. */
  private double shortageVmSeconds;

  /** Wall clock time since which the pool has had a surplus, 0 without a surplus. */
  private long surplusSinceMillis;

  /** Wall clock time at which shortage and surplus were last updated. */
  private long updatedMillis;

  /**
   * Creates the demand of a pool that requires no VMs.
   *
   * @param nowMillis wall clock time in ms since the Unix epoch
   */
  PoolDemand(final long nowMillis) {
    halfStartedMillis = nowMillis;
    updatedMillis = nowMillis;
  }

  /**
   * Records the number of VMs required now.
   *
   * @param vms VMs required now
   * @param nowMillis wall clock time in ms since the Unix epoch
   * @param windowMillis time in ms for which the maximum is retained
   */
  void update(final int vms, final long nowMillis, final long windowMillis) {
    requiredVms = vms;
    if (nowMillis - halfStartedMillis >= windowMillis / 2) {
      halfStartedMillis = nowMillis;
      previousMaximum = currentMaximum;
      currentMaximum = vms;
    }
    currentMaximum = Math.max(currentMaximum, vms);
  }

  /**
   * Updates the shortage and surplus for the time since the last round.
   *
   * @param have VMs that the pool has or is about to get
   * @param nowMillis wall clock time in ms since the Unix epoch
   */
  void recordSupply(final int have, final long nowMillis) {
    final double seconds = (nowMillis - updatedMillis) / MILLIS_PER_SECOND;
    updatedMillis = nowMillis;
    shortageVmSeconds = requiredVms > have ? shortageVmSeconds + (requiredVms - have) * seconds : 0;
    if (have <= recentMaximumVms()) {
      surplusSinceMillis = 0;
    } else if (surplusSinceMillis == 0) {
      surplusSinceMillis = nowMillis;
    }
  }

  /**
   * Returns the number of VMs required now.
   *
   * @return the number of VMs
   */
  int requiredVms() {
    return requiredVms;
  }

  /**
   * Returns the recent maximum of required VMs.
   *
   * @return the number of VMs
   */
  int recentMaximumVms() {
    return Math.max(currentMaximum, previousMaximum);
  }

  /**
   * Returns the shortage accumulated since the pool last had enough VMs.
   *
   * @return VM-seconds
   */
  double shortageVmSeconds() {
    return shortageVmSeconds;
  }

  /**
   * Returns how long the pool has had a surplus.
   *
   * @param nowMillis wall clock time in ms since the Unix epoch
   * @return time in ms, 0 without a surplus
   */
  long surplusMillis(final long nowMillis) {
    return surplusSinceMillis == 0 ? 0 : nowMillis - surplusSinceMillis;
  }
}
