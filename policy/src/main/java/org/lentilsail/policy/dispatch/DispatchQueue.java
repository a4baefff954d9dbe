package org.lentilsail.policy.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Queued requests of one service, indexed by id and by deadline and divided into short and long
 * work.
 */
final class DispatchQueue {
  /** Requests whose expected run time is short. */
  private final FairQueue shortQueue = new FairQueue();

  /** Requests whose expected run time is long. */
  private final FairQueue longQueue = new FairQueue();

  private final Map<DispatchRequestId, QueuedRequest> queued = new HashMap<>();

  private final TreeSet<QueuedRequest> byDeadline = new TreeSet<>(QueuedRequest.BY_DEADLINE);

  private long nextSequence;

  QueuedRequest add(
      final DispatchRequest request,
      final RunTimeEstimate estimate,
      final DispatchSettings settings) {
    final boolean isShort = estimate.boundedMeanNanos() < settings.shortNanos();
    final QueuedRequest entry =
        new QueuedRequest(request, nextSequence++, isShort ? shortQueue : longQueue, estimate);
    entry.fairQueue.add(entry, settings.weight(request.team()));
    queued.put(request.id(), entry);
    byDeadline.add(entry);
    return entry;
  }

  void remove(final QueuedRequest entry) {
    queued.remove(entry.request.id());
    byDeadline.remove(entry);
    entry.fairQueue.remove(entry);
  }

  /** Removes a request that starts and charges its team. */
  void start(final QueuedRequest entry) {
    queued.remove(entry.request.id());
    byDeadline.remove(entry);
    entry.fairQueue.start(entry);
  }

  QueuedRequest find(final DispatchRequestId id) {
    return queued.get(id);
  }

  List<QueuedRequest> requestsOf(final String daemon) {
    return queued.values().stream()
        .filter(entry -> entry.request.id().daemon().equals(daemon))
        .toList();
  }

  /** Returns the request with the earliest deadline if that has passed, otherwise null. */
  QueuedRequest firstExpired(final long nowNanos) {
    final boolean expired =
        !byDeadline.isEmpty() && byDeadline.first().request.deadlineNanos() - nowNanos <= 0;
    return expired ? byDeadline.first() : null;
  }

  /**
   * Returns the request to evict when a queue is full: one of the team with the most requests in
   * relation to its weight. The other queue is not considered: short work starts first anyway, so
   * evicting long work would not make it start earlier.
   */
  QueuedRequest victim(final QueuedRequest newest) {
    final QueuedRequest victim = newest.fairQueue.victim();
    return victim == null ? newest : victim;
  }

  /** Returns the time in ns until a request is expected to start. */
  long expectedWait(final QueuedRequest entry, final int capacity) {
    long work = entry.fairQueue.workAhead(entry);
    int slots = capacity;
    if (entry.fairQueue == longQueue) {
      work += entry.request.urgent() ? 0 : shortQueue.workNanos();
      slots = capacity * Worker.LONG_SLOTS / Worker.SLOTS;
    }
    return work / Math.max(1, slots);
  }

  FairQueue shortQueue() {
    return shortQueue;
  }

  FairQueue longQueue() {
    return longQueue;
  }

  int size() {
    return queued.size();
  }
}
