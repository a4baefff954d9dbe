package org.lentilsail.policy.dispatch;

/** A request that holds a slot. */
final class Running {
  /** The demand that got the slot. */
  final Demand demand;

  /** Worker of the slot. */
  final Worker worker;

  /** Lane that charged the team; null for a slot learned from a report. */
  final Lane lane;

  /** Monotonic time of the start. */
  final long startedNanos;

  /** Run time that the team was charged with, in ns. */
  final long chargedNanos;

  /** Whether the request counts as long work. */
  boolean longWork;

  /** Whether the slot has been freed. */
  boolean ended;

  Running(
      final Demand demand,
      final Worker worker,
      final Lane lane,
      final long startedNanos,
      final long chargedNanos) {
    this.demand = demand;
    this.worker = worker;
    this.lane = lane;
    this.startedNanos = startedNanos;
    this.chargedNanos = chargedNanos;
  }
}
