package org.lentilsail.policy.dispatch;

/** A request that holds a slot. */
final class RunningRequest {
  final DispatchRequest request;

  final Worker worker;

  /** Queue that charged the team; null for a slot adopted from a daemon's report. */
  final FairQueue fairQueue;

  /** Monotonic time of the start. */
  final long startedNanos;

  /** Run time that the team was charged with, in ns. */
  final long chargedNanos;

  /** Whether the request counts as long work. */
  boolean longWork;

  /** Whether the slot has been freed. */
  boolean ended;

  RunningRequest(
      final DispatchRequest request,
      final Worker worker,
      final FairQueue fairQueue,
      final long startedNanos,
      final long chargedNanos) {
    this.request = request;
    this.worker = worker;
    this.fairQueue = fairQueue;
    this.startedNanos = startedNanos;
    this.chargedNanos = chargedNanos;
  }
}
