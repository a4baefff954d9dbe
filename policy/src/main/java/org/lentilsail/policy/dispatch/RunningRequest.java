package org.lentilsail.policy.dispatch;

/** A request that holds a slot. */
final class RunningRequest {
  /** The demand that got the slot. */
  final DispatchRequest request;

  /** Worker of the slot. */
  final Worker worker;

  /** Lane that charged the team; null for a slot learned from a report. */
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
      final DispatchRequest demand,
      final Worker worker,
      final FairQueue lane,
      final long startedNanos,
      final long chargedNanos) {
    this.request = demand;
    this.worker = worker;
    this.fairQueue = lane;
    this.startedNanos = startedNanos;
    this.chargedNanos = chargedNanos;
  }
}
