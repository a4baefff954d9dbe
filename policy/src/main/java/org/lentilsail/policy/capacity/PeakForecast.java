package org.lentilsail.policy.capacity;

import java.util.HashMap;
import java.util.Map;

/**
 * Forecasts which pool has the next demand peak from the order of past peaks. A wrong forecast
 * lowers the confidence, so that moves follow current demand alone until the order repeats again.
 */
final class PeakForecast {
  /**
   * Ratio of a pool's required VMs to those of any other pool from which on the pool has the peak.
   */
  private static final int PEAK_RATIO = 2;

  /** Weight of the last forecast in the confidence. */
  private static final double LAST_WEIGHT = 0.5;

  /** Confidence below which nothing is forecast. */
  private static final double MIN_CONFIDENCE = 0.5;

  /** Pool that had the following peak last time, by pool. */
  private final Map<String, String> next = new HashMap<>();

  /** Maximum number of VMs that a pool required during its last peak, by pool. */
  private final Map<String, Integer> peakVmsByPool = new HashMap<>();

  /** Pool that has the current peak, empty before the first peak. */
  private String currentPeakPool = "";

  /**
   * Recent share of correct forecasts. It starts at the minimum, so that the first forecast is
   * used.
   */
  private double confidence = MIN_CONFIDENCE;

  /**
   * Processes the current demand of the pools.
   *
   * @param poolDemands the demand by pool
   */
  void update(final Map<String, PoolDemand> poolDemands) {
    String first = "";
    int most = 0;
    int second = 0;
    for (final Map.Entry<String, PoolDemand> pool : poolDemands.entrySet()) {
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
      recordPeak(first);
      peakVmsByPool.merge(first, most, Math::max);
    }
  }

  private void recordPeak(final String pool) {
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
      // The last peak predicts the demand of the next one better than earlier peaks.
      peakVmsByPool.remove(pool);
    }
  }

  /**
   * Returns the pool that is expected to have the next peak.
   *
   * @return name of the pool, empty without a forecast
   */
  String nextPeakPool() {
    return confidence >= MIN_CONFIDENCE ? next.getOrDefault(currentPeakPool, "") : "";
  }

  /**
   * Returns the pool that has the current peak.
   *
   * @return name of the pool, empty before the first peak
   */
  String currentPeakPool() {
    return currentPeakPool;
  }

  /**
   * Returns the maximum number of VMs that a pool required during its last peak.
   *
   * @param pool name of the pool
   * @return the number of VMs, 0 without a peak
   */
  int peakVms(final String pool) {
    return peakVmsByPool.getOrDefault(pool, 0);
  }

  /**
   * Returns the confidence in forecasts.
   *
   * @return recent share of correct forecasts
   */
  double confidence() {
    return confidence;
  }
}
