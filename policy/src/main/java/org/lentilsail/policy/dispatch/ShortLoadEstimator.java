package org.lentilsail.policy.dispatch;

/** Estimates how many slots short work needs, from the arrivals of the last moments. */
final class ShortLoadEstimator {
  /**
   * Time constant in ns, longer than most short work. Long work that starts before a peak is seen
   * holds its slots for most of the peak; at 0.5 s it took a tenth of a small pool.
   */
  private static final double WINDOW_NANOS = 0.1e9;

  /**
   * Slots kept free for chance arrivals, in standard deviations of the slots in use. The number in
   * use is about Poisson distributed, so that 3 deviations cover all but a thousandth of the time.
   */
  private static final double DEVIATIONS = 3;

  /** Slot time that arrived, with the weight of each arrival falling over time, in ns. */
  private double arrivedNanos;

  /** Monotonic time of the last arrival. */
  private long lastNanos;

  void recordArrival(final double expectedNanos, final long nowNanos) {
    arrivedNanos = present(nowNanos) + expectedNanos;
    lastNanos = nowNanos;
  }

  private double present(final long nowNanos) {
    return arrivedNanos * Math.exp(-(nowNanos - lastNanos) / WINDOW_NANOS);
  }

  /** Returns the number of slots that short work needs to start without waiting. */
  int requiredSlots(final long nowNanos) {
    final double load = present(nowNanos) / WINDOW_NANOS;
    return (int) Math.ceil(load + DEVIATIONS * Math.sqrt(load));
  }
}
