package org.lentilsail.http;

import java.time.Duration;

/**
 * Timeout for the calls to one server, derived from its recent response times like the
 * retransmission timeout of TCP: the smoothed response time plus four times its mean deviation, and
 * at least half of the shortest timeout. A lost response is noticed early while the server is
 * quick, and a slow server is given more time. Each timeout doubles the value until the next
 * response. Thread-safe.
 */
public final class ResponseTimeout {
  /** Weight of a new measurement in the smoothed response time. */
  private static final double GAIN = 1 / 8.0;

  /** Weight of a new measurement in the mean deviation. */
  private static final double DEVIATION_GAIN = 1 / 4.0;

  private static final int DEVIATIONS = 4;
  private static final int BACKOFF_FACTOR = 2;

  private final Duration min;
  private final Duration max;
  private boolean measured;
  private double smoothedNanos;
  private double deviationNanos;
  private int backoff = 1;

  /**
   * Creates a timeout without measurements; it is the longest one until the first response.
   *
   * @param min shortest timeout
   * @param max longest timeout
   */
  public ResponseTimeout(final Duration min, final Duration max) {
    this.min = min;
    this.max = max;
  }

  /**
   * Returns the timeout of the next call.
   *
   * @return the timeout
   */
  public synchronized Duration current() {
    if (!measured) {
      return max;
    }
    final double margin = Math.max(min.toNanos() / 2.0, DEVIATIONS * deviationNanos);
    final double nanos = smoothedNanos + margin;
    final double bounded = Math.max(nanos, min.toNanos()) * backoff;
    return bounded >= max.toNanos() ? max : Duration.ofNanos((long) bounded);
  }

  /**
   * Records a response.
   *
   * @param elapsed time from the start of the call to the response
   */
  public synchronized void recordResponse(final Duration elapsed) {
    final double nanos = elapsed.toNanos();
    if (measured) {
      deviationNanos += DEVIATION_GAIN * (Math.abs(nanos - smoothedNanos) - deviationNanos);
      smoothedNanos += GAIN * (nanos - smoothedNanos);
    } else {
      measured = true;
      smoothedNanos = nanos;
      deviationNanos = nanos / 2;
    }
    backoff = 1;
  }

  /** Records that a call timed out. */
  public synchronized void recordTimeout() {
    if (current().compareTo(max) < 0) {
      backoff *= BACKOFF_FACTOR;
    }
  }
}
