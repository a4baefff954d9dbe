package org.lentilsail.policy.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;

/** Learned run times of a service by path and team; declared ones only start an estimate. */
final class RunTimeEstimator {
  /** Most estimates that are kept; the ones that were used least recently are dropped. */
  private static final int MAX_ESTIMATES = 4_096;

  /** Nanoseconds in a millisecond. */
  private static final double NANOS_PER_MILLI = 1e6;

  /** Estimates by path and team, in order of use; the team {@code null} stands for all teams. */
  private final Map<Kind, RunTimeEstimate> estimates = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * A kind of request whose run times are learned together.
   *
   * @param path path with numbers replaced
   * @param team team, or null for all teams
   */
  private record Kind(String path, String team) {}

  RunTimeEstimate estimate(
      final String path, final String team, final long declaredMillis, final double shortNanos) {
    final String group = group(path);
    RunTimeEstimate result = estimates.get(new Kind(group, team));
    if (result == null) {
      result = estimates.get(new Kind(group, null));
    }
    if (result == null) {
      result = initial(declaredMillis, shortNanos);
    }
    return result;
  }

  void learn(
      final String path,
      final String team,
      final long declaredMillis,
      final long runNanos,
      final DispatchSettings settings) {
    final String group = group(path);
    final RunTimeEstimate all =
        estimates.computeIfAbsent(
            new Kind(group, null), kind -> initial(declaredMillis, settings.shortNanos()));
    all.learn(runNanos, settings.reclassifyNanos());
    estimates
        .computeIfAbsent(
            new Kind(group, team),
            kind -> new RunTimeEstimate(all.meanNanos(), settings.reclassifyNanos()))
        .learn(runNanos, settings.reclassifyNanos());
    while (estimates.size() > MAX_ESTIMATES) {
      estimates.remove(estimates.keySet().iterator().next());
    }
  }

  int size() {
    return estimates.size();
  }

  private static RunTimeEstimate initial(final long declaredMillis, final double shortNanos) {
    final double nanos = declaredMillis > 0 ? declaredMillis * NANOS_PER_MILLI : shortNanos / 2;
    return new RunTimeEstimate(nanos, Double.MAX_VALUE);
  }

  /** Replaces digits, so that paths with identifiers share an estimate. */
  static String group(final String path) {
    StringBuilder result = null;
    for (int i = 0; i < path.length(); i++) {
      final char c = path.charAt(i);
      final boolean digit = c >= '0' && c <= '9';
      if (digit && result == null) {
        result = new StringBuilder(path.length()).append(path, 0, i);
      }
      if (result != null
          && !(digit && result.length() > 0 && result.charAt(result.length() - 1) == '#')) {
        result.append(digit ? '#' : c);
      }
    }
    return result == null ? path : result.toString();
  }
}
