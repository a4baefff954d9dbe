package org.lentilsail.policy.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** The requests that hold slots, and the change of class of those that run too long. */
final class RunningRequests {
  /** Requests by id. */
  private final Map<DispatchRequestId, RunningRequest> running = new HashMap<>();

  /** Short requests in order of start, to find what outlives its class. */
  private final Deque<RunningRequest> shortOnes = new ArrayDeque<>();

  /** The workers. */
  private final WorkerPool pool;

  RunningRequests(final WorkerPool pool) {
    this.pool = pool;
  }

  RunningRequest find(final DispatchRequestId id) {
    return running.get(id);
  }

  void start(final RunningRequest use) {
    add(use);
    if (!use.longWork) {
      shortOnes.add(use);
    }
  }

  /** Adds a request that was started elsewhere, before the newest ones here. */
  void adopt(final RunningRequest use) {
    add(use);
    shortOnes.addFirst(use);
  }

  private void add(final RunningRequest use) {
    running.put(use.request.id(), use);
    pool.acquireSlot(use.worker, use.longWork);
  }

  /** Frees the slot of a request; returns null when it holds none. */
  RunningRequest end(final DispatchRequestId id) {
    final RunningRequest use = running.remove(id);
    if (use != null) {
      use.ended = true;
      pool.releaseSlot(use.worker, use.longWork);
    }
    return use;
  }

  void endWhere(final Predicate<RunningRequest> condition) {
    final List<DispatchRequestId> ids =
        running.values().stream().filter(condition).map(use -> use.request.id()).toList();
    ids.forEach(this::end);
  }

  /** Counts short requests that have run longer than the limit as long. */
  void reclassify(final long limitNanos, final long nowNanos) {
    while (!shortOnes.isEmpty()
        && (shortOnes.peek().ended || nowNanos - shortOnes.peek().startedNanos >= limitNanos)) {
      final RunningRequest use = shortOnes.poll();
      if (!use.ended) {
        use.longWork = true;
        pool.countLong(use.worker, 1);
      }
    }
  }
}
