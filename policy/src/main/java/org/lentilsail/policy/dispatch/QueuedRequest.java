package org.lentilsail.policy.dispatch;

import java.util.Comparator;

/** A demand that waits in a lane. */
final class QueuedRequest {
  /** Orders by deadline, then by arrival. */
  static final Comparator<QueuedRequest> BY_DEADLINE =
      Comparator.<QueuedRequest>comparingLong(waiting -> waiting.request.deadlineNanos())
          .thenComparingLong(waiting -> waiting.sequence);

  /** The demand. */
  final DispatchRequest request;

  /** Order of arrival. */
  final long sequence;

  /** Lane that the demand waits in. */
  final FairQueue fairQueue;

  /** Low end of the expected run time in ns. */
  final long workNanos;

  /** Expected run time in ns. */
  final long expectedNanos;

  QueuedRequest(
      final DispatchRequest demand,
      final long sequence,
      final FairQueue lane,
      final RunTimeEstimate estimate) {
    this.request = demand;
    this.sequence = sequence;
    this.fairQueue = lane;
    this.workNanos = (long) estimate.lowNanos();
    this.expectedNanos = (long) estimate.meanNanos();
  }
}
