package org.lentilsail.policy.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tells which availability zones the daemons of a zone do not reach. Failures on several workers of
 * another zone in a row point at the way there and not at the workers.
 */
final class ZoneReachability {
  /** Workers of a zone that fail in a row, without a success, before the zone is avoided. */
  static final int WORKERS_TO_CLOSE = 2;

  /** Time in ns between the trial requests to a zone that is avoided. */
  static final long TRIAL_NANOS = 250_000_000L;

  /** Ways by the zones of daemon and worker; a way without failures has no entry. */
  private final Map<Way, Failures> ways = new HashMap<>();

  /**
   * The way from the daemons of a zone to the workers of another.
   *
   * @param from zone of the daemons
   * @param to zone of the workers
   */
  private record Way(int from, int to) {}

  /** Failures on a way since its last success. */
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
    ways.remove(new Way(from, to));
  }

  /** Counts a failure; returns whether it points at the way and not at the worker. */
  boolean recordFailure(final int from, final Worker worker, final long nowNanos) {
    boolean closed = false;
    if (from != worker.zone) {
      final Failures failures =
          ways.computeIfAbsent(new Way(from, worker.zone), way -> new Failures());
      final boolean before = failures.closed();
      failures.vms.add(worker.vm);
      closed = failures.closed();
      if (closed && !before) {
        failures.trialNanos = nowNanos + TRIAL_NANOS;
      }
    }
    return closed;
  }

  /** Tells whether a request may take a way: it is open, or a trial request is due. */
  boolean mayTry(final int from, final int to, final long nowNanos) {
    final Failures failures = ways.get(new Way(from, to));
    return failures == null || !failures.closed() || nowNanos - failures.trialNanos >= 0;
  }

  /** Notes that a request takes a way; the next trial request is then due later. */
  void recordAttempt(final int from, final int to, final long nowNanos) {
    final Failures failures = ways.get(new Way(from, to));
    if (failures != null && failures.closed()) {
      failures.trialNanos = nowNanos + TRIAL_NANOS;
    }
  }

  /** Tells whether some other zone does not reach a zone. */
  boolean isUnreachable(final int to) {
    return ways.entrySet().stream()
        .anyMatch(way -> way.getKey().to() == to && way.getValue().closed());
  }

  /** Tells whether every zone is reached from every other, as far as is known. */
  boolean allReachable() {
    return ways.isEmpty();
  }
}
