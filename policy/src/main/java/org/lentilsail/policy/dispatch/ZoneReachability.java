package org.lentilsail.policy.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which availability zones the daemons of a zone cannot reach. Consecutive failures on
 * several workers of another zone are attributed to the route and not to the workers.
 */
final class ZoneReachability {
  /**
   * Number of workers of a zone that must fail without a success in between before the zone is
   * avoided.
   */
  static final int WORKERS_TO_CLOSE = 2;

  /** Time in ns between the trial requests to a zone that is avoided. */
  static final long TRIAL_NANOS = 250_000_000L;

  /** Failures by route; a route without failures since its last success has no entry. */
  private final Map<Route, Failures> failuresByRoute = new HashMap<>();

  /**
   * Route from the daemons of a zone to the workers of another.
   *
   * @param from zone of the daemons
   * @param to zone of the workers
   */
  private record Route(int from, int to) {}

  /** Failures on a route since its last success. */
  private static final class Failures {
    /** Workers that failed. */
    private final Set<String> vms = new HashSet<>();

    /** Monotonic time of the next trial request. */
    private long trialNanos;

    private boolean closed() {
      return vms.size() >= WORKERS_TO_CLOSE;
    }
  }

  void recordSuccess(final int from, final int to) {
    failuresByRoute.remove(new Route(from, to));
  }

  /** Records a failure and returns whether it is attributed to the route and not to the worker. */
  boolean recordFailure(final int from, final Worker worker, final long nowNanos) {
    boolean closed = false;
    if (from != worker.zone) {
      final Failures failures =
          failuresByRoute.computeIfAbsent(new Route(from, worker.zone), route -> new Failures());
      final boolean before = failures.closed();
      failures.vms.add(worker.vm);
      closed = failures.closed();
      if (closed && !before) {
        failures.trialNanos = nowNanos + TRIAL_NANOS;
      }
    }
    return closed;
  }

  /** Returns whether a request may use a route: it is open, or a trial request is due. */
  boolean mayTry(final int from, final int to, final long nowNanos) {
    final Failures failures = failuresByRoute.get(new Route(from, to));
    return failures == null || !failures.closed() || nowNanos - failures.trialNanos >= 0;
  }

  /** Records that a request uses a route, which postpones the next trial request. */
  void recordAttempt(final int from, final int to, final long nowNanos) {
    final Failures failures = failuresByRoute.get(new Route(from, to));
    if (failures != null && failures.closed()) {
      failures.trialNanos = nowNanos + TRIAL_NANOS;
    }
  }

  /** Returns whether a zone is unreachable from some other zone. */
  boolean isUnreachable(final int to) {
    return failuresByRoute.entrySet().stream()
        .anyMatch(route -> route.getKey().to() == to && route.getValue().closed());
  }

  /** Returns whether no route has failed since its last success. */
  boolean allReachable() {
    return failuresByRoute.isEmpty();
  }
}
