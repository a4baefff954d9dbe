package org.lentilsail.policy.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates the run times of a service's requests by path and team. A declared run time only
 * initialises an estimate.
 */
final class RunTimeEstimator {
  /** Maximum number of estimates; the least recently used ones are evicted. */
  private static final int MAX_ESTIMATES = 4_096;

  private static final double NANOS_PER_MILLI = 1e6;

  /** Estimates in order of access; the team {@code null} stands for all teams. */
  private final Map<RequestKind, RunTimeEstimate> estimates = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Key of the requests that share an estimate.
   *
   * @param path path with digits replaced
   * @param team team, or null for all teams
   */
  private record RequestKind(String path, String team) {}

  RunTimeEstimate estimate(
      final String path, final String team, final long declaredMillis, final double shortNanos) {
    final String normalized = normalize(path);
    RunTimeEstimate result = estimates.get(new RequestKind(normalized, team));
    if (result == null) {
      result = estimates.get(new RequestKind(normalized, null));
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
    final String normalized = normalize(path);
    final RunTimeEstimate all =
        estimates.computeIfAbsent(
            new RequestKind(normalized, null),
            kind -> initial(declaredMillis, settings.shortNanos()));
    all.learn(runNanos, settings.reclassifyNanos());
    estimates
        .computeIfAbsent(
            new RequestKind(normalized, team),
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

  /**
   * Replaces each sequence of digits by {@code #}, so that paths that differ in identifiers share
   * an estimate.
   */
  static String normalize(final String path) {
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
