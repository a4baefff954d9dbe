package org.lentilsail.jobs;

/**
 * Compares the CPU of the VM of this daemon with that of other daemons, which is known from their
 * terms as leader and their takeover offers. Controlling a large fleet takes more CPU and a faster
 * network link than the smallest entry VMs have, so daemons with less CPU leave leadership to those
 * with more. Confined to the control thread.
 */
final class CapacityPreference {
  /** Delay in ms before a claim while a daemon with more CPU may be running. */
  private static final long LOWER_CPU_DELAY_MILLIS = 150;

  /** Fraction of the CPU of another daemon below which a daemon counts as having less CPU. */
  private static final double LOWER_CPU_RATIO = 0.8;

  private final long ownCpuMillis;
  private long maxCpuMillis;

  CapacityPreference(final long cpuMillis) {
    ownCpuMillis = cpuMillis;
    maxCpuMillis = cpuMillis;
  }

  /** Returns the CPU of the VM of this daemon in millicores. */
  long ownCpuMillis() {
    return ownCpuMillis;
  }

  /** Records the CPU of the VM of another daemon in millicores. */
  void observe(final long cpuMillis) {
    maxCpuMillis = Math.max(maxCpuMillis, cpuMillis);
  }

  /** Returns the delay in ms before a claim that lets daemons with more CPU claim first. */
  long claimDelayMillis() {
    return isLower(ownCpuMillis, maxCpuMillis) ? LOWER_CPU_DELAY_MILLIS : 0;
  }

  /** Returns whether a leader with this many millicores should hand over to this daemon. */
  boolean hasMoreCpuThan(final long leaderCpuMillis) {
    return isLower(leaderCpuMillis, ownCpuMillis);
  }

  /** Returns whether this daemon should hand over to one with this many millicores. */
  boolean hasLessCpuThan(final long otherCpuMillis) {
    return isLower(ownCpuMillis, otherCpuMillis);
  }

  private static boolean isLower(final long cpuMillis, final long otherCpuMillis) {
    return cpuMillis < LOWER_CPU_RATIO * otherCpuMillis;
  }
}
