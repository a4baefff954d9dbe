package org.lentilsail.policy.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Requests that hold slots. Short requests that run too long are reclassified as long work. */
final class RunningRequests {
  private final Map<DispatchRequestId, RunningRequest> running = new HashMap<>();

  /** Short requests in order of start, to find those that exceed the limit of their class. */
  private final Deque<RunningRequest> shortRequests = new ArrayDeque<>();

  private final WorkerPool pool;

  RunningRequests(final WorkerPool pool) {
    this.pool = pool;
  }

  RunningRequest find(final DispatchRequestId id) {
    return running.get(id);
  }

  void start(final RunningRequest active) {
    add(active);
    if (!active.longWork) {
      shortRequests.add(active);
    }
  }

  /** Adds a request that another dispatcher started before those started here. */
  void adopt(final RunningRequest active) {
    add(active);
    shortRequests.addFirst(active);
  }

  private void add(final RunningRequest active) {
    running.put(active.request.id(), active);
    pool.acquireSlot(active.worker, active.longWork);
  }

  /** Releases and returns a request, or returns null when it holds no slot. */
  RunningRequest end(final DispatchRequestId id) {
    final RunningRequest active = running.remove(id);
    if (active != null) {
      active.ended = true;
      pool.releaseSlot(active.worker, active.longWork);
    }
    return active;
  }

  void endWhere(final Predicate<RunningRequest> condition) {
    final List<DispatchRequestId> ids =
        running.values().stream().filter(condition).map(active -> active.request.id()).toList();
    ids.forEach(this::end);
  }

  /** Reclassifies short requests that have run longer than the limit as long work. */
  void reclassify(final long limitNanos, final long nowNanos) {
    while (!shortRequests.isEmpty()
        && (shortRequests.peek().ended
            || nowNanos - shortRequests.peek().startedNanos >= limitNanos)) {
      final RunningRequest active = shortRequests.poll();
      if (!active.ended) {
        active.longWork = true;
        pool.countLong(active.worker, 1);
      }
    }
  }
}
