package org.lentilsail.policy.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * Finds the free worker with the fewest slots in use in a time that does not depend on the number
 * of workers.
 */
final class WorkerIndex {
  /** Number of kinds of index. */
  static final int KINDS = 4;

  /** Workers with a free slot for short work. */
  private static final int SHORT = 0;

  /** Workers with a free slot for long work. */
  private static final int LONG = 1;

  /** Free workers that get one request at a time. */
  private static final int TRIAL = 2;

  /** Free workers that stay in use although they fail, because most workers fail. */
  private static final int SUSPECT = 3;

  /**
   * Buckets by kind; the position of a bucket is its zone times {@link Worker#SLOTS} plus the slots
   * in use.
   */
  private final List<List<WorkerBucket>> buckets =
      List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());

  /** Number of workers in each kind of index. */
  private final int[] sizes = new int[KINDS];

  /** Number of availability zones. */
  private int zones;

  void addZone() {
    zones++;
    for (int kind = 0; kind < KINDS; kind++) {
      for (int level = 0; level < Worker.SLOTS; level++) {
        buckets.get(kind).add(new WorkerBucket(kind));
      }
    }
  }

  void remove(final Worker worker) {
    for (int kind = 0; kind < KINDS; kind++) {
      if (worker.buckets[kind] != null) {
        worker.buckets[kind].remove(worker);
        sizes[kind]--;
      }
    }
  }

  void update(final Worker worker) {
    remove(worker);
    if (worker.hasFreeSlot()) {
      if (worker.capacity < Worker.SLOTS) {
        add(TRIAL, worker);
      } else if (worker.suspect) {
        add(SUSPECT, worker);
      } else {
        add(SHORT, worker);
        if (worker.longBusy < Worker.LONG_SLOTS) {
          add(LONG, worker);
        }
      }
    }
  }

  private void add(final int kind, final Worker worker) {
    buckets.get(kind).get(worker.zone * Worker.SLOTS + worker.busy).add(worker);
    sizes[kind]++;
  }

  boolean hasFreeSlot(final boolean longWork) {
    return sizes[longWork ? LONG : SHORT] + sizes[TRIAL] + sizes[SUSPECT] > 0;
  }

  /**
   * Finds a worker for a request. Short work that is not urgent goes to a worker on trial first,
   * because only requests can show that the worker has recovered; other work goes there only when
   * no healthy worker is free. Only zones that the predicate accepts are used.
   */
  Worker find(
      final DispatchRequest request,
      final int zone,
      final boolean longWork,
      final IntPredicate mayTry) {
    final Set<String> excluded = request.excludedVms();
    Worker result = null;
    if (!longWork && !request.urgent()) {
      result = find(TRIAL, zone, excluded, mayTry);
    }
    if (result == null) {
      result = find(longWork ? LONG : SHORT, zone, excluded, mayTry);
    }
    if (result == null) {
      result = find(TRIAL, zone, excluded, mayTry);
    }
    if (result == null) {
      result = find(SUSPECT, zone, excluded, mayTry);
    }
    return result;
  }

  private Worker find(
      final int kind, final int zone, final Set<String> excluded, final IntPredicate mayTry) {
    Worker result = null;
    if (sizes[kind] > 0) {
      final List<WorkerBucket> candidates = buckets.get(kind);
      for (int level = 0; level < Worker.SLOTS && result == null; level++) {
        for (int i = 0; i < zones && result == null; i++) {
          final int candidate = (zone + i) % zones;
          if (mayTry.test(candidate)) {
            result = candidates.get(candidate * Worker.SLOTS + level).find(excluded);
          }
        }
      }
    }
    return result;
  }
}
