package org.lentilsail.policy.capacity;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns in which order the pools have their peaks. A forecast that fails lowers the confidence, so
 * that moves follow present demand alone until the order holds again.
 */
final class PeakForecast {
  /** A pool has the peak when it needs this many times as much as any other pool. */
  private static final int PEAK_RATIO = 2;

  /** Weight of the last forecast in the confidence. */
  private static final double LAST_WEIGHT = 0.5;

  /** Confidence below which nothing is forecast. */
  private static final double LEAST_CONFIDENCE = 0.5;

  /** Pool that had the next peak the last time, by pool. */
  private final Map<String, String> next = new HashMap<>();

  /** Most VMs that a pool needed during its last peak, by pool. */
  private final Map<String, Integer> heights = new HashMap<>();

  /** Pool that has the peak, empty before the first peak. */
  private String currentPeakPool = "";

  /** Share of forecasts that came true lately; the first forecast gets the benefit of the doubt. */
  private double confidence = LEAST_CONFIDENCE;

  /**
   * Notes the present needs.
   *
   * @param needs the needs by pool
   */
  void update(final Map<String, PoolDemand> needs) {
    String first = "";
    int most = 0;
    int second = 0;
    for (final Map.Entry<String, PoolDemand> pool : needs.entrySet()) {
      final int now = pool.getValue().requiredVms();
      if (now > most) {
        second = most;
        most = now;
        first = pool.getKey();
      } else {
        second = Math.max(second, now);
      }
    }
    if (most >= PEAK_RATIO * Math.max(1, second)) {
      turnTo(first);
      heights.merge(first, most, Math::max);
    }
  }

  private void turnTo(final String pool) {
    if (!pool.equals(currentPeakPool)) {
      final String forecast = next.get(currentPeakPool);
      if (forecast != null) {
        final double hit = forecast.equals(pool) ? 1 : 0;
        confidence += (hit - confidence) * LAST_WEIGHT;
      }
      if (!currentPeakPool.isEmpty()) {
        next.put(currentPeakPool, pool);
      }
      currentPeakPool = pool;
      // Demand of earlier peaks says less than that of the last one.
      heights.remove(pool);
    }
  }

  /**
   * Returns the pool that is expected to have the next peak.
   *
   * @return name of the pool, empty without a forecast
   */
  String nextPeakPool() {
    return confidence >= LEAST_CONFIDENCE ? next.getOrDefault(currentPeakPool, "") : "";
  }

  /**
   * Returns the pool that has the peak.
   *
   * @return name of the pool, empty before the first peak
   */
  String currentPeakPool() {
    return currentPeakPool;
  }

  /**
   * Returns the most VMs that a pool needed during its last peak.
   *
   * @param pool name of the pool
   * @return the number of VMs, 0 without a peak
   */
  int peakVms(final String pool) {
    return heights.getOrDefault(pool, 0);
  }

  /**
   * Returns how far forecasts can be trusted.
   *
   * @return share of forecasts that came true lately
   */
  double confidence() {
    return confidence;
  }
}
