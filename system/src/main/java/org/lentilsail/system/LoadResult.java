package org.lentilsail.system;

import org.HdrHistogram.Histogram;

/**
 * Latencies and failures of a load.
 *
 * @param latencies latencies in ns
 * @param failures requests without a response of status 200
 */
record LoadResult(Histogram latencies, int failures) {
  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * Returns a percentile of the latencies.
   *
   * @param percentile percentile, 0 to 100
   * @return latency in ms
   */
  double millisAt(final double percentile) {
    return latencies.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
  }
}
