package org.lentilsail.policy.job;

import java.time.Duration;

/** Decides after how many seconds a caller that was rejected without the store tries again. */
public final class RetryAfter {
  /** Shortest value in s; the header has whole seconds. */
  private static final int MIN_SECONDS = 1;

  /**
   * Longest value in s. A caller has a response deadline of about 3 s, so a longer value would give
   * it no second attempt within its deadline.
   */
  private static final int MAX_SECONDS = 2;

  /**
   * Length of an outage up to which all callers get the shortest value. A caller that the beginning
   * of an outage meets is served in time only if it returns soon after the end.
   */
  private static final Duration SHORT_OUTAGE = Duration.ofSeconds(1);

  /**
   * Length of an outage from which most callers get the longest value. Four retries of 2 s then
   * outlast an outage of the same length again, where four of 1 s would end after 4 s.
   */
  private static final Duration LONG_OUTAGE = Duration.ofSeconds(4);

  /**
   * Largest share of callers that get the longest value. The others get the shortest one, so that
   * the callers of a long outage do not all return in the same second.
   */
  private static final double MAX_LONGEST_SHARE = 0.75;

  private RetryAfter() {}

  /**
   * Returns the value of Retry-After.
   *
   * @param unavailable time for which the store has been unavailable, zero while it is available
   * @param draw random number of this caller, from 0 to below 1
   * @return value in s
   */
  public static int seconds(final Duration unavailable, final double draw) {
    return draw < longestShare(unavailable) ? MAX_SECONDS : MIN_SECONDS;
  }

  private static double longestShare(final Duration unavailable) {
    final double elapsed = unavailable.minus(SHORT_OUTAGE).toMillis();
    final double span = LONG_OUTAGE.minus(SHORT_OUTAGE).toMillis();
    return MAX_LONGEST_SHARE * Math.max(0, Math.min(1, elapsed / span));
  }
}
