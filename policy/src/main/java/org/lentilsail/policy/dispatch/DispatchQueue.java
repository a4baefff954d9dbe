package org.lentilsail.policy.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** The waiting demands of one service: by id, by deadline, and in lanes. */
final class DispatchQueue {
  /** Demands whose expected run time is short. */
  private final FairQueue shortQueue = new FairQueue();

  /** The other demands. */
  private final FairQueue longQueue = new FairQueue();

  /** Demands by id. */
  private final Map<DispatchRequestId, QueuedRequest> waiting = new HashMap<>();

  /** Demands by deadline. */
  private final TreeSet<QueuedRequest> byDeadline = new TreeSet<>(QueuedRequest.BY_DEADLINE);

  /** Number of the newest demand. */
  private long sequence;

  QueuedRequest add(
      final DispatchRequest demand,
      final RunTimeEstimate estimate,
      final DispatchSettings settings) {
    final boolean isShort = estimate.boundedMeanNanos() < settings.shortNanos();
    final QueuedRequest entry =
        new QueuedRequest(demand, sequence++, isShort ? shortQueue : longQueue, estimate);
    entry.fairQueue.add(entry, settings.weight(demand.team()));
    waiting.put(demand.id(), entry);
    byDeadline.add(entry);
    return entry;
  }

  void remove(final QueuedRequest entry) {
    waiting.remove(entry.request.id());
    byDeadline.remove(entry);
    entry.fairQueue.remove(entry);
  }

  /** Takes a demand out because it starts. */
  void start(final QueuedRequest entry) {
    waiting.remove(entry.request.id());
    byDeadline.remove(entry);
    entry.fairQueue.start(entry);
  }

  QueuedRequest find(final DispatchRequestId id) {
    return waiting.get(id);
  }

  List<QueuedRequest> requestsOf(final String daemon) {
    return waiting.values().stream()
        .filter(entry -> entry.request.id().daemon().equals(daemon))
        .toList();
  }

  /** Returns a demand whose deadline has passed, or null. */
  QueuedRequest firstExpired(final long nowNanos) {
    final boolean late =
        !byDeadline.isEmpty() && byDeadline.first().request.deadlineNanos() - nowNanos <= 0;
    return late ? byDeadline.first() : null;
  }

  /**
   * Returns the demand that makes room when a lane is full: the team with most in it loses one. The
   * other lane loses none, since short work starts first and long work that leaves does not bring
   * it forward.
   */
  QueuedRequest victim(final QueuedRequest newest) {
    final QueuedRequest victim = newest.fairQueue.victim();
    return victim == null ? newest : victim;
  }

  /** Returns the time in ns until a demand is expected to start. */
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
    return waiting.size();
  }
}
