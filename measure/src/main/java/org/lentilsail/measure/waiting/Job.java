package org.lentilsail.measure.waiting;

import java.util.HashSet;
import java.util.Set;

/** Simulated request with its actual run time, which is unknown to the dispatchers. */
final class Job {
  /** Jobs with a run time in ns below this limit are short. */
  static final long SHORT_NANOS = 200_000_000L;

  /** Arrival time in ns. */
  final long arrivedNanos;

  /** Time in ns until which the caller waits for the job to start. */
  final long deadlineNanos;

  /** Actual run time in ns. */
  final long runNanos;

  final String path;

  /** Team of the caller. */
  final String team;

  /** Run time in ms that the caller declares, often far from the actual one. */
  final long declaredMillis;

  /** Whether the job is urgent. */
  final boolean urgent;

  /** Whether the job fails on every worker. */
  final boolean poison;

  /** Number of the entry daemon that received the job. */
  final int daemon;

  /** Workers on which the job has failed. */
  final Set<Integer> failedWorkers = new HashSet<>();

  /** Whether the job is completed, failed, rejected, expired or cancelled. */
  boolean finished;

  /** Attempt in progress, or null. */
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
