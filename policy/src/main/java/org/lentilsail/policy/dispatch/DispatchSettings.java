package org.lentilsail.policy.dispatch;

import java.util.Map;

/**
 * Settings of the dispatcher of one service.
 *
 * @param shortMillis expected run time in ms below which work counts as short
 * @param queueLimit maximum number of queued requests in each class of work, short and long
 * @param teamWeights weights of the teams' fair shares; the default weight is 1
 */
public record DispatchSettings(long shortMillis, int queueLimit, Map<String, Integer> teamWeights) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Multiple of {@code shortMillis} after which running work counts as long. */
  private static final int RECLASSIFY_FACTOR = 4;

  /** Copies the weights to make the settings immutable. */
  public DispatchSettings {
    teamWeights = Map.copyOf(teamWeights);
  }

  long shortNanos() {
    return shortMillis * NANOS_PER_MILLI;
  }

  long reclassifyNanos() {
    return shortNanos() * RECLASSIFY_FACTOR;
  }

  int weight(final String team) {
    return Math.max(1, teamWeights.getOrDefault(team, 1));
  }
}
