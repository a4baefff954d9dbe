package org.lentilsail.measure.waiting;

import org.HdrHistogram.Histogram;

/** What has come of the jobs of a run. */
final class JobStatistics {
  /** Longest wait that the histograms hold, in us. */
  private static final long MAX_MICROS = 120_000_000L;

  /** Nanoseconds in a microsecond. */
  private static final long NANOS_PER_MICRO = 1_000L;

  /** Waits of short work in us: until the start, or until the caller stopped waiting. */
  final Histogram shortWait = new Histogram(MAX_MICROS, 3);

  /** Waits of long work in us. */
  final Histogram longWait = new Histogram(MAX_MICROS, 3);

  /** Completed short jobs. */
  long shortCompleted;

  /** Completed long jobs. */
  long longCompleted;

  /** Short jobs refused before their deadline. */
  long shortRejected;

  /** Long jobs refused before their deadline. */
  long longRejected;

  /** Jobs whose caller stopped waiting. */
  long expired;

  /** Jobs that failed on too many workers, other than those that run nowhere. */
  long failed;

  /** Slot time of the completed jobs in ns. */
  long workNanos;

  void done(final Job job) {
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

  void expired(final Job job) {
    job.finished = true;
    expired++;
    final long wait = (job.deadlineNanos - job.arrivedNanos) / NANOS_PER_MICRO;
    (job.isShort() ? shortWait : longWait).recordValue(wait);
  }

  void refused(final Job job) {
    job.finished = true;
    if (job.isShort()) {
      shortRejected++;
    } else {
      longRejected++;
    }
  }

  void failed(final Job job) {
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
