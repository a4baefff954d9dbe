package org.lentilsail.policy.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Workers that are equally suitable for a request. Adding and removing take constant time. */
final class WorkerBucket {
  /** Kind of the index that the bucket belongs to. */
  private final int kind;

  private final List<Worker> workers = new ArrayList<>();

  /** Position at which the last search started, for round-robin selection. */
  private int searchStart;

  WorkerBucket(final int kind) {
    this.kind = kind;
  }

  void add(final Worker worker) {
    worker.buckets[kind] = this;
    worker.positions[kind] = workers.size();
    workers.add(worker);
  }

  void remove(final Worker worker) {
    final int position = worker.positions[kind];
    final Worker last = workers.remove(workers.size() - 1);
    if (last != worker) {
      workers.set(position, last);
      last.positions[kind] = position;
    }
    worker.buckets[kind] = null;
  }

  Worker find(final Set<String> excluded) {
    Worker result = null;
    final int size = workers.size();
    searchStart = size == 0 ? 0 : (searchStart + 1) % size;
    for (int i = 0; i < size && result == null; i++) {
      final Worker candidate = workers.get((searchStart + i) % size);
      if (excluded.isEmpty() || !excluded.contains(candidate.vm)) {
        result = candidate;
      }
    }
    return result;
  }
}
