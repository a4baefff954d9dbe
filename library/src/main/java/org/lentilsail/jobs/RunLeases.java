package org.lentilsail.jobs;

import org.lentilsail.policy.job.TaskRun;
import org.lentilsail.policy.job.WorkerReport;
import org.lentilsail.policy.job.WorkerState;

/**
 * Decides for how long the runs of one worker hold their lease, and when it has certainly expired.
 * Confined to the control thread.
 */
final class RunLeases {
  /**
   * Lease in ms granted by each poll; longer than a change of leader takes, see docs/platform.md.
   */
  private static final long RUN_LEASE_MILLIS = 4_000;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final long maxLeaseMillis;
  private final WorkerState worker;
  private final SessionCallbacks callbacks;

  RunLeases(
      final ControlContext context, final WorkerState worker, final SessionCallbacks callbacks) {
    this.maxLeaseMillis = context.bounds().maxLeaseMillis();
    this.worker = worker;
    this.callbacks = callbacks;
  }

  /**
   * Grants a lease with a poll, and records it since the poll may be executed without a reply. A
   * poll of an unresponsive worker grants none: that would postpone the time at which its runs are
   * known to have ended.
   *
   * @param sentAt monotonic time in ns at which the poll is sent
   * @return expiry in ms on the clock of the worker, 0 for none
   */
  long grant(final long sentAt) {
    if (!worker.clock().isKnown() || !worker.isResponding() || !callbacks.isLeader()) {
      return 0;
    }
    final long expiryMillis = worker.clock().estimate(sentAt) + leaseMillis();
    worker.leaseExpiry(expiryMillis);
    return expiryMillis;
  }

  /**
   * Returns the duration in ms of a lease. The next leader counts the longest lease from its claim,
   * so no lease lasts longer than that from the last time at which this daemon is known to have
   * been the leader: the store may have ended its lease early since.
   */
  private long leaseMillis() {
    final long longest = maxLeaseMillis - callbacks.unconfirmedNanos() / NANOS_PER_MILLI - 1;
    return callbacks.isStoreUnreliable() ? longest : Math.min(RUN_LEASE_MILLIS, longest);
  }

  /**
   * Records the latest expiry that an earlier leader can have granted, before the first report of
   * an incarnation is applied. That leader may have renewed the lease for longer than this one
   * does, and a shorter renewal does not shorten it. Its fencing token is outdated from now on.
   */
  void recordLongestEarlierLease(final WorkerReport report) {
    worker.leaseExpiry(report.clockMillis() + maxLeaseMillis);
  }

  /**
   * Returns whether the lease of all runs has certainly expired.
   *
   * @param now monotonic time in ns
   * @return false also while the clock of the worker is not known
   */
  boolean haveExpired(final long now) {
    return worker.clock().isKnown() && worker.clock().lowerBound(now) > lastExpiry();
  }

  /** Returns the latest expiry of all leases and starts, in ms on the clock of the worker. */
  long lastExpiry() {
    long latest = worker.leaseExpiry();
    for (final TaskRun run : worker.runs()) {
      latest = Math.max(latest, run.startExpiry());
    }
    return latest;
  }
}
