package org.lentilsail.measure.waiting;

import org.HdrHistogram.Histogram;

/** Waits and outcomes of the jobs of a run. */
final class JobStatistics {
  /** Highest wait in us that the histograms record. */
  private static final long MAX_MICROS = 120_000_000L;

  private static final long NANOS_PER_MICRO = 1_000L;

  /** Waits of short jobs in us, until the start or until the caller stopped waiting. */
  final Histogram shortWait = new Histogram(MAX_MICROS, 3);

  /** Waits of long jobs in us, until the start or until the caller stopped waiting. */
  final Histogram longWait = new Histogram(MAX_MICROS, 3);

  /** Number of completed short jobs. */
  long shortCompleted;

  /** Number of completed long jobs. */
  long longCompleted;

  /** Number of short jobs rejected before their deadline. */
  long shortRejected;

  /** Number of long jobs rejected before their deadline. */
  long longRejected;

  /** Number of jobs whose caller stopped waiting. */
  long expired;

  /** Number of jobs that used up their attempts, except jobs that fail on every worker. */
  long failed;

  /** Total run time of the completed jobs in ns. */
  long workNanos;

  void recordCompleted(final Job job) {
    job.finished = true;
    final long wait = (job.attempt.startedNanos - job.arrivedNanos) / NANOS_PER_MICRO;
    workNanos += job.runNanos;
    if (job.isShort()) {
      shortCompleted++;
      shortWait.recordValue(Math.min(MAX_MICROS, wait));
    } else {
      longCompleted++;
      longWait.recordValue(Math.min(MAX_MICROS, wait));
    }
  }

  void recordExpired(final Job job) {
    job.finished = true;
    expired++;
    final long wait = (job.deadlineNanos - job.arrivedNanos) / NANOS_PER_MICRO;
    (job.isShort() ? shortWait : longWait).recordValue(wait);
  }

  void recordRejected(final Job job) {
    job.finished = true;
    if (job.isShort()) {
      shortRejected++;
    } else {
      longRejected++;
    }
  }

  void recordFailed(final Job job) {
    job.finished = true;
    failed += job.poison ? 0 : 1;
  }

  void add(final JobStatistics other) {
    shortWait.add(other.shortWait);
    longWait.add(other.longWait);
    shortCompleted += other.shortCompleted;
    longCompleted += other.longCompleted;
    shortRejected += other.shortRejected;
    longRejected += other.longRejected;
    expired += other.expired;
    failed += other.failed;
    workNanos += other.workNanos;
  }
}
