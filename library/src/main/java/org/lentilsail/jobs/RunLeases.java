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

  /** Time in ms until a start command expires; a worker rejects it after that. */
  private static final long START_EXPIRY_MILLIS = 1_500;

  /** Allowance for a worker clock that runs slow and for the network delay of a command. */
  private static final double MARGIN_FACTOR = 1.03;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlContext context;
  private final WorkerState worker;
  private final SessionCallbacks callbacks;

  /**
   * Monotonic time in ns of the last call that may have extended a lease. The initial value lies
   * before any monotonic time and does not overflow in differences.
   */
  private long lastGrantAt = Long.MIN_VALUE / 2;

  RunLeases(
      final ControlContext context, final WorkerState worker, final SessionCallbacks callbacks) {
    this.context = context;
    this.worker = worker;
    this.callbacks = callbacks;
  }

  /**
   * Grants a lease with a poll, and records it since the poll may be executed without a reply. A
   * poll of an unresponsive worker grants none: that would postpone the time at which its runs are
   * known to have ended. A worker of which only some runs are known keeps its tasks blocked for as
   * long as the lease may last.
   *
   * @param sentAt monotonic time in ns at which the poll is sent
   * @return expiry in ms on the clock of the worker, 0 for none
   */
  long grant(final long sentAt) {
    if (!worker.clock().isKnown() || !worker.isResponding() || !callbacks.isLeader()) {
      return 0;
    }
    if (!worker.isSynced()) {
      callbacks.workerPartlyKnown(worker);
    }
    return recordGrant(sentAt, leaseMillis());
  }

  /**
   * Sets the expiry of a start command. It extends the lease of all runs of the worker, also if the
   * worker rejects the start or the command is not answered.
   *
   * @param run the run
   * @param sentAt monotonic time in ns at which the command is sent
   * @return expiry in ms on the clock of the worker
   */
  long grantStart(final TaskRun run, final long sentAt) {
    run.startExpiry(recordGrant(sentAt, START_EXPIRY_MILLIS));
    return run.startExpiry();
  }

  private long recordGrant(final long sentAt, final long millis) {
    final long expiryMillis = worker.clock().estimate(sentAt) + millis;
    worker.leaseExpiry(expiryMillis);
    lastGrantAt = sentAt;
    return expiryMillis;
  }

  /**
   * Returns the duration in ms of a lease. The next leader counts the longest lease from its claim,
   * so no lease lasts longer than that from the last time at which this daemon is known to have
   * been the leader: the store may have ended its lease early since.
   */
  private long leaseMillis() {
    final long longest =
        context.bounds().maxLeaseMillis() - callbacks.unconfirmedNanos() / NANOS_PER_MILLI - 1;
    return callbacks.isStoreUnreliable() ? longest : Math.min(RUN_LEASE_MILLIS, longest);
  }

  /**
   * Records the latest expiry that an earlier leader can have granted, before the first report of
   * an incarnation is applied. That leader may have renewed the lease for longer than this one
   * does, and a shorter renewal does not shorten it. Its fencing token is outdated from now on.
   */
  void recordLongestEarlierLease(final WorkerReport report) {
    worker.leaseExpiry(report.clockMillis() + context.bounds().maxLeaseMillis());
  }

  /**
   * Returns whether the lease of a run has certainly expired. A run that no report has listed may
   * be on a later incarnation of the worker, whose clock has begun anew: only the longest lease
   * since the last call that may have extended it shows that it has ended.
   *
   * @param run a run of the worker
   * @param now monotonic time in ns
   * @return whether it has ended, if all calls were executed when they arrived
   */
  boolean hasExpired(final TaskRun run, final long now) {
    final boolean clockKnown = worker.clock().isKnown();
    if (clockKnown && worker.clock().lowerBound(now) <= worker.leaseExpiry()) {
      return false;
    }
    return run.isListed() ? clockKnown : haveAllExpired(now);
  }

  /** Returns whether no call to any incarnation of the worker can hold a lease any more. */
  boolean haveAllExpired(final long now) {
    return now - lastGrantAt > longestNanos(context.bounds());
  }

  /** Returns the time in ns after a call at which no lease that it has extended is valid. */
  static long longestNanos(final ControlBounds bounds) {
    return (long) (bounds.maxLeaseMillis() * MARGIN_FACTOR * NANOS_PER_MILLI);
  }
}
