package org.lentilsail.measure.waiting;

import java.util.HashSet;
import java.util.Set;

/** A request with its true run time, which the dispatchers do not see. */
final class Job {
  /** Run time in ns under which a job is short. */
  static final long SHORT_NANOS = 200_000_000L;

  /** Time of arrival in ns. */
  final long arrivedNanos;

  /** Time in ns until which the caller waits for the start. */
  final long deadlineNanos;

  /** True run time in ns. */
  final long runNanos;

  /** Request path. */
  final String path;

  /** Team of the caller. */
  final String team;

  /** Run time in ms that the caller declares, often wrong. */
  final long declaredMillis;

  /** Whether the job is urgent. */
  final boolean urgent;

  /** Whether the job fails on every worker. */
  final boolean poison;

  /** Entry daemon that got the job. */
  final int daemon;

  /** Workers on which the job has failed. */
  final Set<Integer> failedWorkers = new HashSet<>();

  /** Whether the job is completed, refused, expired or cancelled. */
  boolean finished;

  /** Attempt that is under way, or null. */
  Attempt attempt;

  Job(final long arrivedNanos, final long patienceNanos, final JobKind kind, final int daemon) {
    this.arrivedNanos = arrivedNanos;
    this.deadlineNanos = arrivedNanos + patienceNanos;
    this.runNanos = kind.runNanos();
    this.path = kind.path();
    this.team = kind.team();
    this.declaredMillis = kind.declaredMillis();
    this.urgent = kind.urgent();
    this.poison = kind.poison();
    this.daemon = daemon;
  }

  boolean isShort() {
    return runNanos < SHORT_NANOS;
  }
}
