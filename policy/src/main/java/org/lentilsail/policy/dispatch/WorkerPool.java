package org.lentilsail.policy.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.lentilsail.policy.health.HealthState;
import org.lentilsail.policy.health.ServiceHealth;

/** The workers of one service with their slots, modes and health. */
final class WorkerPool {
  /** Interval in ns between checks for ended back-offs. */
  private static final long HEALTH_INTERVAL_NANOS = 20_000_000L;

  private final Map<String, Worker> workers = new HashMap<>();

  /** Indexes of the availability zones by name. */
  private final Map<String, Integer> zones = new HashMap<>();

  private final WorkerIndex index = new WorkerIndex();

  private final ServiceHealth health;

  /** Reachability of the workers' zones from the daemons' zones. */
  private final ZoneReachability reachability = new ZoneReachability();

  /** Workers that were failing at the last health check. */
  private List<String> failing = List.of();

  /** Monotonic time of the last health check. */
  private long checkedNanos;

  /** Usable slots of all workers. */
  private int capacity;

  /** Number of workers with at least one usable slot. */
  private int usable;

  /** Slots in use. */
  private int busy;

  /** Slots in use by long work. */
  private int longBusy;

  WorkerPool(final RandomGenerator random) {
    health = new ServiceHealth(random);
  }

  void put(final String vm, final String zone, final WorkerMode mode, final long nowNanos) {
    final Worker known = workers.get(vm);
    if (known == null) {
      final int number = zones.computeIfAbsent(zone, this::newZone);
      workers.put(vm, new Worker(vm, number, mode));
      health.add(vm);
    } else {
      known.mode = mode;
    }
    refreshFailing(nowNanos);
    refresh(workers.get(vm), nowNanos);
  }

  private int newZone(final String name) {
    index.addZone();
    return zones.size();
  }

  void remove(final String vm, final long nowNanos) {
    final Worker worker = workers.remove(vm);
    if (worker != null) {
      index.remove(worker);
      setCapacity(worker, 0);
      health.remove(vm);
      refreshFailing(nowNanos);
    }
  }

  Worker worker(final String vm) {
    return workers.get(vm);
  }

  Worker find(final DispatchRequest request, final boolean longWork, final long nowNanos) {
    final int zone = zoneOf(request);
    return index.hasFreeSlot(longWork)
        ? index.find(request, zone, longWork, to -> mayTry(zone, to, nowNanos))
        : null;
  }

  private int zoneOf(final DispatchRequest request) {
    return zones.getOrDefault(request.availabilityZone(), 0);
  }

  /**
   * Returns whether a zone may be used. When no route to a zone with usable workers is open, all
   * zones are used.
   */
  private boolean mayTry(final int from, final int to, final long nowNanos) {
    return reachability.allReachable()
        || reachability.mayTry(from, to, nowNanos)
        || !anyUsable(from, nowNanos);
  }

  private boolean anyUsable(final int from, final long nowNanos) {
    return workers.values().stream()
        .anyMatch(
            worker -> worker.capacity > 0 && reachability.mayTry(from, worker.zone, nowNanos));
  }

  /** Records that a request is granted a slot of a worker. */
  void recordGrant(final DispatchRequest request, final Worker worker, final long nowNanos) {
    reachability.recordAttempt(zoneOf(request), worker.zone, nowNanos);
  }

  boolean hasFreeSlot(final boolean longWork) {
    return index.hasFreeSlot(longWork);
  }

  void acquireSlot(final Worker worker, final boolean longWork) {
    worker.busy++;
    busy++;
    countLong(worker, longWork ? 1 : 0);
  }

  void releaseSlot(final Worker worker, final boolean longWork) {
    worker.busy--;
    busy--;
    countLong(worker, longWork ? -1 : 0);
  }

  void countLong(final Worker worker, final int change) {
    worker.longBusy += change;
    longBusy += change;
    if (workers.get(worker.vm) == worker) {
      index.update(worker);
    }
  }

  void recordResult(
      final DispatchRequest request,
      final Worker worker,
      final WorkerResult result,
      final long nowNanos) {
    final int from = zoneOf(request);
    final boolean failed = result == WorkerResult.FAILED;
    final boolean routeFailed = failed && reachability.recordFailure(from, worker, nowNanos);
    if (result == WorkerResult.OK) {
      reachability.recordSuccess(from, worker.zone);
    }
    if (workers.get(worker.vm) == worker && result != WorkerResult.NEUTRAL && !routeFailed) {
      final boolean changes = failed || worker.suspect;
      if (failed) {
        health.failed(worker.vm, nowNanos);
      } else {
        health.succeeded(worker.vm);
      }
      if (changes) {
        refreshFailing(nowNanos);
        refresh(worker, nowNanos);
      }
    }
  }

  /** Checks for ended back-offs and returns whether workers may have become usable. */
  boolean advance(final long nowNanos) {
    final boolean due = !failing.isEmpty() && nowNanos - checkedNanos >= HEALTH_INTERVAL_NANOS;
    if (due) {
      refreshFailing(nowNanos);
    }
    return due;
  }

  private void refreshFailing(final long nowNanos) {
    final List<String> before = failing;
    checkedNanos = nowNanos;
    failing = new ArrayList<>(health.failingWorkers());
    before.forEach(vm -> refresh(workers.get(vm), nowNanos));
    failing.forEach(vm -> refresh(workers.get(vm), nowNanos));
  }

  private void refresh(final Worker worker, final long nowNanos) {
    if (worker != null) {
      final HealthState state = health.state(worker.vm, nowNanos);
      int slots = 0;
      if (worker.mode != WorkerMode.DRAINING && state != HealthState.WITHDRAWN) {
        final boolean allSlots = worker.mode == WorkerMode.OPEN && state == HealthState.HEALTHY;
        slots = allSlots ? Worker.SLOTS : 1;
      }
      worker.suspect = health.isFailing(worker.vm);
      setCapacity(worker, slots);
      index.update(worker);
    }
  }

  private void setCapacity(final Worker worker, final int slots) {
    capacity += slots - worker.capacity;
    usable += Integer.signum(slots) - Integer.signum(worker.capacity);
    worker.capacity = slots;
  }

  boolean canServe(final Set<String> excluded) {
    int left = usable;
    for (final String vm : excluded) {
      final Worker worker = workers.get(vm);
      left -= worker != null && worker.capacity > 0 ? 1 : 0;
    }
    return left > 0;
  }

  Set<String> unhealthy() {
    return health.unhealthy();
  }

  int size() {
    return workers.size();
  }

  int capacity() {
    return capacity;
  }

  /** Returns the number of usable slots in the zones that are reachable from every zone. */
  int reachableCapacity() {
    return reachability.allReachable()
        ? capacity
        : workers.values().stream()
            .filter(worker -> !reachability.isUnreachable(worker.zone))
            .mapToInt(worker -> worker.capacity)
            .sum();
  }

  int busy() {
    return busy;
  }

  int longBusy() {
    return longBusy;
  }
}
