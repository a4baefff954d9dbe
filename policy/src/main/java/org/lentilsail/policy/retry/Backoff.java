package org.lentilsail.policy.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Spreads retries by full jitter: the wait is uniform between zero and a bound that doubles.
 *
 * @param first bound of the first wait
 * @param limit maximum bound
 */
public record Backoff(Duration first, Duration limit) {
  /** Maximum number of doublings; more would overflow and exceed every sensible limit. */
  private static final int MAX_DOUBLINGS = 30;

  /** Checks the bounds. */
  public Backoff {
    if (first.isNegative() || first.isZero() || limit.compareTo(first) < 0) {
      throw new IllegalArgumentException(
          "back-off from " + first + " to " + limit + " needs a positive first bound");
    }
  }

  /**
   * Draws the random wait before a retry.
   *
   * @param retry number of the retry, from 0
   * @param random source of the jitter
   * @return the wait
   */
  public Duration wait(final int retry, final RandomGenerator random) {
    final long doubled = first.toNanos() << Math.min(retry, MAX_DOUBLINGS);
    final long bound = doubled <= 0 ? limit.toNanos() : Math.min(doubled, limit.toNanos());
    return Duration.ofNanos(random.nextLong(bound + 1));
  }
}
