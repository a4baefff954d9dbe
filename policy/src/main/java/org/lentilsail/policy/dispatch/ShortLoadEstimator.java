package org.lentilsail.policy.dispatch;

/** Estimates the number of slots that short work needs from recent arrivals. */
final class ShortLoadEstimator {
  /**
   * Time constant in ns of the exponential decay, longer than most short work. Long work that
   * starts before a peak is detected holds its slots for most of the peak; with a time constant of
   * 0.5 s, such work took a tenth of a small pool.
   */
  private static final double WINDOW_NANOS = 0.1e9;

  /**
   * Slots reserved for random fluctuations, in standard deviations of the slots in use. The number
   * in use is approximately Poisson distributed, so 3 deviations suffice for all but 0.1% of the
   * time.
   */
  private static final double DEVIATIONS = 3;

  /** Sum of the expected run times of all arrivals in ns, exponentially decayed. */
  private double arrivedNanos;

  /** Monotonic time of the last arrival. */
  private long lastNanos;

  void recordArrival(final double expectedNanos, final long nowNanos) {
    arrivedNanos = decayedNanos(nowNanos) + expectedNanos;
    lastNanos = nowNanos;
  }

  private double decayedNanos(final long nowNanos) {
    return arrivedNanos * Math.exp(-(nowNanos - lastNanos) / WINDOW_NANOS);
  }

  /** Returns the number of slots that short work needs to start without waiting. */
  int requiredSlots(final long nowNanos) {
    final double load = decayedNanos(nowNanos) / WINDOW_NANOS;
    return (int) Math.ceil(load + DEVIATIONS * Math.sqrt(load));
  }
}
