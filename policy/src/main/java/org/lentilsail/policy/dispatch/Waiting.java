package org.lentilsail.policy.dispatch;

import java.util.Comparator;

/** A demand that waits in a lane. */
final class Waiting {
  /** Orders by deadline, then by arrival. */
  static final Comparator<Waiting> BY_DEADLINE =
      Comparator.<Waiting>comparingLong(waiting -> waiting.demand.deadlineNanos())
          .thenComparingLong(waiting -> waiting.sequence);

  /** The demand. */
  final Demand demand;

  /** Order of arrival. */
  final long sequence;

  /** Lane that the demand waits in. */
  final Lane lane;

  /** Low end of the expected run time in ns. */
  final long workNanos;

  /** Expected run time in ns. */
  final long expectedNanos;

  Waiting(
      final Demand demand, final long sequence, final Lane lane, final RunTimeEstimate estimate) {
    this.demand = demand;
    this.sequence = sequence;
    this.lane = lane;
    this.workNanos = (long) estimate.lowNanos();
    this.expectedNanos = (long) estimate.meanNanos();
  }
}
