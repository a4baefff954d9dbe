package org.lentilsail.policy.dispatch;

import java.util.Set;
import java.util.random.RandomGenerator;
import org.lentilsail.model.fleet.ServiceLoad;
import org.lentilsail.policy.health.AttemptLimit;

/**
 * Schedules the requests of one service: grants slots, queues requests and refuses requests.
 *
 * <p>This class is not thread-safe. It reads no clock; each call receives the monotonic time in ns.
 */
public final class ServiceDispatcher {
  /** Requests of a queue that are tried for a free slot; some may exclude all free workers. */
  private static final int MAX_TRIED = 8;

  /**
   * Fraction of the slots that long work may use while short work waits, as a divisor. Without this
   * minimum, sustained overload by short work would starve long work.
   */
  private static final int LONG_MINIMUM_DIVISOR = 32;

  /** Time in ns after which a grant that has not reached its daemon counts as lost. */
  private static final long GRANT_TIMEOUT_NANOS = 2_000_000_000L;

  private final DispatchListener listener;

  private final WorkerPool pool;

  private final RunTimeEstimator runTimes = new RunTimeEstimator();

  private final DispatchQueue queue = new DispatchQueue();

  private final RunningRequests running;

  private final ShortLoadEstimator shortLoad = new ShortLoadEstimator();

  private DispatchSettings settings;

  /** Requests refused for lack of slots since the last report. */
  private int refused;

  /**
   * Creates the dispatcher of a service without workers.
   *
   * @param settings settings of the service
   * @param random source of jitter
   * @param listener receives the decisions
   */
  public ServiceDispatcher(
      final DispatchSettings settings,
      final RandomGenerator random,
      final DispatchListener listener) {
    this.settings = settings;
    this.listener = listener;
    this.pool = new WorkerPool(random);
    this.running = new RunningRequests(pool);
  }

  /**
   * Changes the settings for subsequent decisions.
   *
   * @param changed settings of the service
   */
  public void configure(final DispatchSettings changed) {
    settings = changed;
  }

  /**
   * Adds a worker or changes its mode.
   *
   * @param vm VM of the worker
   * @param availabilityZone availability zone of the VM
   * @param mode how the worker is to be used
   * @param nowNanos monotonic time
   */
  public void putWorker(
      final String vm, final String availabilityZone, final WorkerMode mode, final long nowNanos) {
    pool.put(vm, availabilityZone, mode, nowNanos);
    startAll(nowNanos);
  }

  /**
   * Removes a worker; requests that run on it keep their slots until they are released.
   *
   * @param vm VM of the worker
   * @param nowNanos monotonic time
   */
  public void removeWorker(final String vm, final long nowNanos) {
    pool.remove(vm, nowNanos);
  }

  /**
   * Submits a request. The listener is notified of a grant or an early refusal before this method
   * returns; otherwise the request is queued. A repeated submission only notifies the listener
   * again of an existing grant, because the first message may have been lost.
   *
   * @param request the request
   * @param nowNanos monotonic time
   */
  public void submit(final DispatchRequest request, final long nowNanos) {
    advance(nowNanos);
    final RunningRequest active = running.find(request.id());
    if (active != null) {
      listener.granted(request.id(), active.worker.vm);
    } else if (!AttemptLimit.mayRetry(request.excludedVms().size())) {
      listener.refused(request.id(), RefusalReason.STOPPED);
    } else if (!pool.canServe(request.excludedVms())) {
      refuse(request.id(), RefusalReason.NO_WORKER);
    } else if (queue.find(request.id()) == null) {
      enqueue(request, nowNanos);
    }
  }

  private void enqueue(final DispatchRequest request, final long nowNanos) {
    final RunTimeEstimate estimate =
        runTimes.estimate(
            request.path(), request.team(), request.expectedMillis(), settings.shortNanos());
    final QueuedRequest entry = queue.add(request, estimate, settings);
    if (entry.fairQueue == queue.shortQueue()) {
      shortLoad.recordArrival(estimate.boundedMeanNanos(), nowNanos);
    }
    startAll(nowNanos);
    if (queue.find(request.id()) != null) {
      final long expectedStart = nowNanos + queue.expectedWait(entry, pool.capacity());
      if (expectedStart - request.deadlineNanos() > 0) {
        refuseQueued(entry, RefusalReason.DEADLINE);
      } else if (entry.fairQueue.size() > settings.queueLimit()) {
        refuseQueued(queue.victim(entry), RefusalReason.QUEUE_FULL);
      }
    }
  }

  private void refuseQueued(final QueuedRequest entry, final RefusalReason reason) {
    queue.remove(entry);
    refuse(entry.request.id(), reason);
  }

  /**
   * Cancels a queued request. A request that holds a slot keeps it until the release.
   *
   * @param id id of the request
   * @param nowNanos monotonic time
   * @return whether the request was queued
   */
  public boolean cancel(final DispatchRequestId id, final long nowNanos) {
    final QueuedRequest entry = queue.find(id);
    if (entry != null) {
      queue.remove(entry);
      startAll(nowNanos);
    }
    return entry != null;
  }

  /**
   * Releases the slot of a request; repeated calls have no effect.
   *
   * @param id id of the request
   * @param result what the outcome indicates about the worker
   * @param runNanos run time of the request on the worker in ns
   * @param nowNanos monotonic time
   */
  public void release(
      final DispatchRequestId id,
      final WorkerResult result,
      final long runNanos,
      final long nowNanos) {
    final RunningRequest active = running.end(id);
    if (active != null) {
      final DispatchRequest request = active.request;
      pool.recordResult(request, active.worker, result, nowNanos);
      // The slot is occupied from the grant to the release, so the team is charged for it.
      final long heldNanos = Math.max(runNanos, nowNanos - active.startedNanos);
      if (result == WorkerResult.OK) {
        runTimes.learn(
            request.path(), request.team(), request.expectedMillis(), heldNanos, settings);
      }
      if (active.fairQueue != null) {
        final boolean bounded = active.fairQueue == queue.shortQueue();
        final long cost = bounded ? Math.min(heldNanos, settings.reclassifyNanos()) : heldNanos;
        active.fairQueue.charge(request.team(), cost - active.chargedNanos);
      }
    }
    advance(nowNanos);
    startAll(nowNanos);
  }

  /**
   * Adopts a slot that another dispatcher has granted and that a daemon reports as in use.
   *
   * @param request the request that holds the slot
   * @param vm VM of the worker
   * @param startNanos monotonic time of the start
   * @param nowNanos monotonic time
   */
  public void adopt(
      final DispatchRequest request, final String vm, final long startNanos, final long nowNanos) {
    final Worker worker = pool.worker(vm);
    if (worker != null && running.find(request.id()) == null) {
      final QueuedRequest entry = queue.find(request.id());
      if (entry != null) {
        queue.remove(entry);
      }
      running.adopt(new RunningRequest(request, worker, null, startNanos, 0));
      advance(nowNanos);
    }
  }

  /**
   * Releases the slots and removes the queued requests of a daemon that is gone.
   *
   * @param daemon id of the daemon
   * @param nowNanos monotonic time
   */
  public void releaseDaemon(final String daemon, final long nowNanos) {
    running.endWhere(active -> active.request.id().daemon().equals(daemon));
    queue.requestsOf(daemon).forEach(queue::remove);
    startAll(nowNanos);
  }

  /**
   * Releases the slots that were granted to a daemon but that it does not report, because a message
   * was lost. Slots granted within the last 2 s are kept, since the grant may still be in transit.
   *
   * @param daemon id of the daemon
   * @param held the requests of the daemon that hold slots
   * @param nowNanos monotonic time
   */
  public void reconcile(
      final String daemon, final Set<DispatchRequestId> held, final long nowNanos) {
    running.endWhere(
        active ->
            active.request.id().daemon().equals(daemon)
                && !held.contains(active.request.id())
                && nowNanos - active.startedNanos > GRANT_TIMEOUT_NANOS);
    startAll(nowNanos);
  }

  /**
   * Processes everything that is due: refuses requests past their deadline, reclassifies work and
   * ends back-offs.
   *
   * @param nowNanos monotonic time
   */
  public void advance(final long nowNanos) {
    for (QueuedRequest expired = queue.firstExpired(nowNanos);
        expired != null;
        expired = queue.firstExpired(nowNanos)) {
      refuseQueued(expired, RefusalReason.DEADLINE);
    }
    running.reclassify(settings.reclassifyNanos(), nowNanos);
    if (pool.advance(nowNanos)) {
      startAll(nowNanos);
    }
  }

  private void refuse(final DispatchRequestId id, final RefusalReason reason) {
    refused++;
    listener.refused(id, reason);
  }

  private void startAll(final long nowNanos) {
    final FairQueue shortQueue = queue.shortQueue();
    final FairQueue longQueue = queue.longQueue();
    boolean more = queue.size() > 0;
    while (more) {
      final boolean longMayStart = longQueue.size() > 0 && pool.longBusy() < longLimit(nowNanos);
      final boolean longBelowMinimum =
          longMayStart && pool.longBusy() < Math.max(1, pool.capacity() / LONG_MINIMUM_DIVISOR);
      more =
          startOne(shortQueue, true, nowNanos)
              || startOne(longQueue, true, nowNanos)
              || longBelowMinimum && startOne(longQueue, false, nowNanos)
              || startOne(shortQueue, false, nowNanos)
              || longMayStart && startOne(longQueue, false, nowNanos);
      more = more && queue.size() > 0;
    }
  }

  /** Returns the slots that long work may hold so that short work gets those it needs. */
  private int longLimit(final long nowNanos) {
    final int minimum = Math.max(1, pool.capacity() / LONG_MINIMUM_DIVISOR);
    return Math.max(minimum, pool.reachableCapacity() - shortLoad.requiredSlots(nowNanos));
  }

  private boolean startOne(
      final FairQueue fairQueue, final boolean urgentOnly, final long nowNanos) {
    final boolean longWork = fairQueue == queue.longQueue();
    boolean started = false;
    if (fairQueue.size() > 0 && pool.hasFreeSlot(longWork)) {
      for (final QueuedRequest entry : fairQueue.candidates(urgentOnly, MAX_TRIED)) {
        final Worker worker = pool.find(entry.request, longWork, nowNanos);
        if (worker != null) {
          start(entry, worker, longWork, nowNanos);
          started = true;
          break;
        }
      }
    }
    return started;
  }

  private void start(
      final QueuedRequest entry, final Worker worker, final boolean longWork, final long nowNanos) {
    queue.start(entry);
    final RunningRequest active =
        new RunningRequest(entry.request, worker, entry.fairQueue, nowNanos, entry.expectedNanos);
    active.longWork = longWork;
    running.start(active);
    pool.recordGrant(entry.request, worker, nowNanos);
    listener.granted(entry.request.id(), worker.vm);
  }

  /**
   * Returns the load of the service and resets the count of refusals.
   *
   * @return the load since the last call
   */
  public ServiceLoad takeLoad() {
    final ServiceLoad load = new ServiceLoad(pool.busy(), queue.size(), refused);
    refused = 0;
    return load;
  }

  /**
   * Returns the workers that are withdrawn or on trial.
   *
   * @return VMs of the workers
   */
  public Set<String> unhealthyVms() {
    return pool.unhealthy();
  }

  /**
   * Returns the current statistics for the state dump.
   *
   * @return the statistics
   */
  public DispatchStatistics statistics() {
    return new DispatchStatistics(
        pool.size(),
        pool.capacity(),
        pool.busy(),
        pool.longBusy(),
        queue.shortQueue().size(),
        queue.longQueue().size(),
        runTimes.size());
  }
}
