package org.lentilsail.policy.capacity;

/** How many VMs a pool needs now, needed lately, and has been short of. */
final class PoolDemand {
  /** Milliseconds in a second. */
  private static final double MILLIS = 1_000;

  /** VMs needed now. */
  private int requiredVms;

  /** Most VMs needed in the current half of the window. */
  private int highest;

  /** Most VMs needed in the previous half of the window. */
  private int highestBefore;

  /** Wall clock time at which the current half of the window began. */
  private long halfBeganMillis;

  /** Shortage in VM-seconds since the pool last had enough. */
  private double shortageVmSeconds;

  /** Wall clock time since which the pool has had VMs to spare, 0 while it has none. */
  private long surplusSinceMillis;

  /** Wall clock time of the last account of shortage. */
  private long accountedMillis;

  /**
   * Creates a need of 0 VMs.
   *
   * @param nowMillis wall clock time in ms since the Unix epoch
   */
  PoolDemand(final long nowMillis) {
    halfBeganMillis = nowMillis;
    accountedMillis = nowMillis;
  }

  /**
   * Notes the present need.
   *
   * @param vms VMs needed now
   * @param nowMillis wall clock time in ms since the Unix epoch
   * @param windowMillis time in ms for which a need is remembered
   */
  void update(final int vms, final long nowMillis, final long windowMillis) {
    requiredVms = vms;
    if (nowMillis - halfBeganMillis >= windowMillis / 2) {
      halfBeganMillis = nowMillis;
      highestBefore = highest;
      highest = vms;
    }
    highest = Math.max(highest, vms);
  }

  /**
   * Accounts for the shortage or surplus since the last round.
   *
   * @param have VMs that the pool has or is about to get
   * @param nowMillis wall clock time in ms since the Unix epoch
   */
  void recordSupply(final int have, final long nowMillis) {
    final double seconds = (nowMillis - accountedMillis) / MILLIS;
    accountedMillis = nowMillis;
    shortageVmSeconds = requiredVms > have ? shortageVmSeconds + (requiredVms - have) * seconds : 0;
    if (have <= recentMaximumVms()) {
      surplusSinceMillis = 0;
    } else if (surplusSinceMillis == 0) {
      surplusSinceMillis = nowMillis;
    }
  }

  /**
   * Returns the VMs needed now.
   *
   * @return the number of VMs
   */
  int requiredVms() {
    return requiredVms;
  }

  /**
   * Returns the most VMs needed lately.
   *
   * @return the number of VMs
   */
  int recentMaximumVms() {
    return Math.max(highest, highestBefore);
  }

  /**
   * Returns how long and how much the pool has been short.
   *
   * @return VM-seconds
   */
  double shortageVmSeconds() {
    return shortageVmSeconds;
  }

  /**
   * Returns how long the pool has had VMs to spare.
   *
   * @param nowMillis wall clock time in ms since the Unix epoch
   * @return ms, 0 when it has none
   */
  long surplusMillis(final long nowMillis) {
    return surplusSinceMillis == 0 ? 0 : nowMillis - surplusSinceMillis;
  }
}
