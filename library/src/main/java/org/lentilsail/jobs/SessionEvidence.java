package org.lentilsail.jobs;

import org.lentilsail.policy.job.DropEvidence;
import org.lentilsail.policy.job.DropReason;
import org.lentilsail.policy.job.WorkerReport;
import org.lentilsail.policy.job.WorkerState;

/** States for the log what a session has seen when it takes runs of its worker for ended. */
final class SessionEvidence {
  private SessionEvidence() {}

  /** The latest expiry in ms on the clock of an unresponsive worker has passed. */
  static DropEvidence leaseExpired(final WorkerState worker, final long now) {
    final String seen =
        "clock " + worker.clock().lowerBound(now) + " lease " + worker.leaseExpiry();
    return new DropEvidence(DropReason.LEASE_EXPIRED, seen, worker.contact().unresponsiveSince());
  }

  /** A complete report shows all runs of the worker. */
  static DropEvidence reported(final WorkerReport report, final long sentAt) {
    final String seen =
        "report with " + report.running().size() + " runs, " + report.finished().size() + " ends";
    return new DropEvidence(DropReason.GATE_REPORTED, seen, sentAt);
  }

  /** The worker has started after the start in ms since the Unix epoch that was known. */
  static DropEvidence restarted(
      final DropReason reason,
      final WorkerState worker,
      final long earlierStart,
      final long seenAt) {
    final String seen = "start " + worker.entry().startTimeMillis() + " after " + earlierStart;
    return new DropEvidence(reason, seen, seenAt);
  }
}
