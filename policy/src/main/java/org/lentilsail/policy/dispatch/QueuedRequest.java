package org.lentilsail.policy.dispatch;

import java.util.Comparator;

/** A request that waits for a slot. */
final class QueuedRequest {
  /** Orders by deadline, then by arrival. */
  static final Comparator<QueuedRequest> BY_DEADLINE =
      Comparator.<QueuedRequest>comparingLong(queued -> queued.request.deadlineNanos())
          .thenComparingLong(queued -> queued.sequence);

  final DispatchRequest request;

  /** Sequence number in order of arrival. */
  final long sequence;

  /** Queue of the request's class of work. */
  final FairQueue fairQueue;

  /** Lower end of the expected run time in ns. */
  final long workNanos;

  /** Expected run time in ns. */
  final long expectedNanos;

  QueuedRequest(
      final DispatchRequest request,
      final long sequence,
      final FairQueue fairQueue,
      final RunTimeEstimate estimate) {
    this.request = request;
    this.sequence = sequence;
    this.fairQueue = fairQueue;
    this.workNanos = (long) estimate.lowNanos();
    this.expectedNanos = (long) estimate.meanNanos();
  }
}
