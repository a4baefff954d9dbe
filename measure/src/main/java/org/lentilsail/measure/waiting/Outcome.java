package org.lentilsail.measure.waiting;

import org.HdrHistogram.Histogram;

/** What has come of the jobs of a run. */
final class Outcome {
  /** Longest wait that the histograms hold, in us. */
  private static final long MAX_MICROS = 120_000_000L;

  /** Nanoseconds in a microsecond. */
  private static final long NANOS_PER_MICRO = 1_000L;

  /** Waits of short work in us: until the start, or until the caller stopped waiting. */
  final Histogram shortWait = new Histogram(MAX_MICROS, 3);

  /** Waits of long work in us. */
  final Histogram longWait = new Histogram(MAX_MICROS, 3);

  /** Completed short jobs. */
  long shortDone;

  /** Completed long jobs. */
  long longDone;

  /** Short jobs refused before their deadline. */
  long shortRefused;

  /** Long jobs refused before their deadline. */
  long longRefused;

  /** Jobs whose caller stopped waiting. */
  long expired;

  /** Jobs that failed on too many workers, other than those that run nowhere. */
  long failed;

  /** Slot time of the completed jobs in ns. */
  long workNanos;

  void done(final Job job) {
    job.over = true;
    final long wait = (job.attempt.startedNanos - job.arrivedNanos) / NANOS_PER_MICRO;
    workNanos += job.runNanos;
    if (job.isShort()) {
      shortDone++;
      shortWait.recordValue(Math.min(MAX_MICROS, wait));
    } else {
      longDone++;
      longWait.recordValue(Math.min(MAX_MICROS, wait));
    }
  }

  void expired(final Job job) {
    job.over = true;
    expired++;
    final long wait = (job.deadlineNanos - job.arrivedNanos) / NANOS_PER_MICRO;
    (job.isShort() ? shortWait : longWait).recordValue(wait);
  }

  void refused(final Job job) {
    job.over = true;
    if (job.isShort()) {
      shortRefused++;
    } else {
      longRefused++;
    }
  }

  void failed(final Job job) {
    job.over = true;
    failed += job.poison ? 0 : 1;
  }

  void add(final Outcome other) {
    shortWait.add(other.shortWait);
    longWait.add(other.longWait);
    shortDone += other.shortDone;
    longDone += other.longDone;
    shortRefused += other.shortRefused;
    longRefused += other.longRefused;
    expired += other.expired;
    failed += other.failed;
    workNanos += other.workNanos;
  }
}
