package org.lentilsail.jobs;

/**
 * Compares the VM of this daemon with those of the holders that it has seen. Control of a large
 * fleet needs more processor and a faster link than the smallest entry VMs have, so weaker daemons
 * leave control to stronger ones. Owned by the control thread.
 */
final class CapacityPreference {
  /** Pause in ms before a claim for which a stronger daemon may be there. */
  private static final long WEAKER_PAUSE_MILLIS = 150;

  /** Share of the other's processor below which a daemon counts as weaker. */
  private static final double WEAKER_SHARE = 0.8;

  private final long ownCpuMillis;
  private long strongest;

  CapacityPreference(final long ownProcessor) {
    ownCpuMillis = ownProcessor;
    strongest = ownProcessor;
  }

  /** Returns the processor of this daemon's VM in thousandths of a core. */
  long ownCpuMillis() {
    return ownCpuMillis;
  }

  /** Takes in the processor of another daemon's VM. */
  void observe(final long processor) {
    strongest = Math.max(strongest, processor);
  }

  /** Returns how long to wait, in ms, so that stronger daemons can claim control first. */
  long claimPauseMillis() {
    return isWeaker(ownCpuMillis, strongest) ? WEAKER_PAUSE_MILLIS : 0;
  }

  /** Tells whether a holder with so much processor should leave control to this daemon. */
  boolean hasMoreCpuThan(final long holder) {
    return isWeaker(holder, ownCpuMillis);
  }

  /** Tells whether this daemon should leave control to one with so much processor. */
  boolean hasLessCpuThan(final long other) {
    return isWeaker(ownCpuMillis, other);
  }

  private static boolean isWeaker(final long one, final long other) {
    return one < WEAKER_SHARE * other;
  }
}
