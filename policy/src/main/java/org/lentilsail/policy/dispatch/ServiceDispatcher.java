package org.lentilsail.policy.dispatch;

import java.util.Set;
import java.util.random.RandomGenerator;
import org.lentilsail.model.fleet.ServiceLoad;
import org.lentilsail.policy.health.AttemptLimit;

/**
 * Decides for one service which demand gets which slot, which waits and which is refused.
 *
 * <p>It is not safe for use by several threads, and reads no clock: each call gets the monotonic
 * time.
 */
public final class ServiceDispatcher {
  /** Demands of a lane that are tried when the first ones exclude all free workers. */
  private static final int MAX_TRIED = 8;

  /**
   * Part of the slots that long work may use while short work waits, as a divisor. Without it, a
   * lasting surplus of short work would hold long work up for ever.
   */
  private static final int LONG_MINIMUM_DIVISOR = 32;

  /** Time in ns within which a grant reaches its daemon or is lost. */
  private static final long GRANT_LIMIT_NANOS = 2_000_000_000L;

  /** Hears the decisions. */
  private final DispatchListener listener;

  /** The workers. */
  private final WorkerPool pool;

  /** Learned run times. */
  private final RunTimeEstimator runTimes = new RunTimeEstimator();

  /** Waiting demands. */
  private final DispatchQueue queue = new DispatchQueue();

  /** Requests that hold slots. */
  private final RunningRequests running;

  /** Slots that short work needs. */
  private final ShortLoadEstimator shortLoad = new ShortLoadEstimator();

  /** Settings of the service. */
  private DispatchSettings settings;

  /** Demands refused for lack of slots since the last report. */
  private int refused;

  /**
   * Creates the dispatcher of a service without workers.
   *
   * @param settings settings of the service
   * @param random source of jitter
   * @param listener hears the decisions
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
   * Changes the settings for the decisions that follow.
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
   * Asks for a slot. The listener hears of a grant or an early refusal before this method returns;
   * otherwise the demand waits. A repeat changes nothing; when the demand has a slot, the listener
   * hears of the grant again, as the first message may be lost.
   *
   * @param demand what is needed
   * @param nowNanos monotonic time
   */
  public void submit(final DispatchRequest demand, final long nowNanos) {
    advance(nowNanos);
    final RunningRequest use = running.find(demand.id());
    if (use != null) {
      listener.granted(demand.id(), use.worker.vm);
    } else if (!AttemptLimit.mayRetry(demand.excludedVms().size())) {
      listener.refused(demand.id(), RefusalReason.STOPPED);
    } else if (!pool.canServe(demand.excludedVms())) {
      refuse(demand.id(), RefusalReason.NO_WORKER);
    } else if (queue.find(demand.id()) == null) {
      enqueue(demand, nowNanos);
    }
  }

  private void enqueue(final DispatchRequest demand, final long nowNanos) {
    final RunTimeEstimate estimate =
        runTimes.estimate(
            demand.path(), demand.team(), demand.expectedMillis(), settings.shortNanos());
    final QueuedRequest entry = queue.add(demand, estimate, settings);
    if (entry.fairQueue == queue.shortQueue()) {
      shortLoad.recordArrival(estimate.boundedMeanNanos(), nowNanos);
    }
    startAll(nowNanos);
    if (queue.find(demand.id()) != null) {
      final long expectedStart = nowNanos + queue.expectedWait(entry, pool.capacity());
      if (expectedStart - demand.deadlineNanos() > 0) {
        refuseWaiting(entry, RefusalReason.DEADLINE);
      } else if (entry.fairQueue.size() > settings.queueLimit()) {
        refuseWaiting(queue.victim(entry), RefusalReason.QUEUE_FULL);
      }
    }
  }

  private void refuseWaiting(final QueuedRequest entry, final RefusalReason reason) {
    queue.remove(entry);
    refuse(entry.request.id(), reason);
  }

  /**
   * Withdraws a demand that still waits. A demand that has a slot keeps it until the release.
   *
   * @param id the demand
   * @param nowNanos monotonic time
   * @return whether the demand waited
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
   * Frees the slot of a demand; repeats do nothing.
   *
   * @param id the demand
   * @param result what the end says about the worker
   * @param runNanos time that the request took on the worker
   * @param nowNanos monotonic time
   */
  public void release(
      final DispatchRequestId id,
      final WorkerResult result,
      final long runNanos,
      final long nowNanos) {
    final RunningRequest use = running.end(id);
    if (use != null) {
      final DispatchRequest demand = use.request;
      pool.recordResult(demand, use.worker, result, nowNanos);
      // The slot is taken from the grant to the release, so that is what a run costs.
      final long heldNanos = Math.max(runNanos, nowNanos - use.startedNanos);
      if (result == WorkerResult.OK) {
        runTimes.learn(demand.path(), demand.team(), demand.expectedMillis(), heldNanos, settings);
      }
      if (use.fairQueue != null) {
        final boolean bounded = use.fairQueue == queue.shortQueue();
        final long cost = bounded ? Math.min(heldNanos, settings.reclassifyNanos()) : heldNanos;
        use.fairQueue.charge(demand.team(), cost - use.chargedNanos);
      }
    }
    advance(nowNanos);
    startAll(nowNanos);
  }

  /**
   * Takes over a slot that a daemon reports as in use, which another dispatcher has granted.
   *
   * @param demand the demand that holds the slot
   * @param vm VM of the worker
   * @param startedNanos monotonic time of the start
   * @param nowNanos monotonic time
   */
  public void adopt(
      final DispatchRequest demand, final String vm, final long startedNanos, final long nowNanos) {
    final Worker worker = pool.worker(vm);
    if (worker != null && running.find(demand.id()) == null) {
      final QueuedRequest entry = queue.find(demand.id());
      if (entry != null) {
        queue.remove(entry);
      }
      running.adopt(new RunningRequest(demand, worker, null, startedNanos, 0));
      advance(nowNanos);
    }
  }

  /**
   * Frees the slots and queue places of a daemon that is gone.
   *
   * @param daemon id of the daemon
   * @param nowNanos monotonic time
   */
  public void releaseDaemon(final String daemon, final long nowNanos) {
    running.endWhere(use -> use.request.id().daemon().equals(daemon));
    queue.requestsOf(daemon).forEach(queue::remove);
    startAll(nowNanos);
  }

  /**
   * Frees the slots that a daemon does not hold although it was granted them, as a message was
   * lost. Slots granted a short time ago are kept, since the grant may be on its way.
   *
   * @param daemon id of the daemon
   * @param held the demands of the daemon that hold slots
   * @param nowNanos monotonic time
   */
  public void reconcile(
      final String daemon, final Set<DispatchRequestId> held, final long nowNanos) {
    running.endWhere(
        use ->
            use.request.id().daemon().equals(daemon)
                && !held.contains(use.request.id())
                && nowNanos - use.startedNanos > GRANT_LIMIT_NANOS);
    startAll(nowNanos);
  }

  /**
   * Does what is due: refuses demands past their deadline, reclassifies work, ends back-offs.
   *
   * @param nowNanos monotonic time
   */
  public void advance(final long nowNanos) {
    for (QueuedRequest late = queue.firstExpired(nowNanos);
        late != null;
        late = queue.firstExpired(nowNanos)) {
      refuseWaiting(late, RefusalReason.DEADLINE);
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
    final FairQueue shortLane = queue.shortQueue();
    final FairQueue longLane = queue.longQueue();
    boolean more = queue.size() > 0;
    while (more) {
      final boolean longMayStart = longLane.size() > 0 && pool.longBusy() < longLimit(nowNanos);
      final boolean longIsBehind =
          longMayStart && pool.longBusy() < Math.max(1, pool.capacity() / LONG_MINIMUM_DIVISOR);
      more =
          startOne(shortLane, true, nowNanos)
              || startOne(longLane, true, nowNanos)
              || longIsBehind && startOne(longLane, false, nowNanos)
              || startOne(shortLane, false, nowNanos)
              || longMayStart && startOne(longLane, false, nowNanos);
      more = more && queue.size() > 0;
    }
  }

  /** Returns the slots that long work may hold, which leaves short work what it needs. */
  private int longLimit(final long nowNanos) {
    final int minimum = Math.max(1, pool.capacity() / LONG_MINIMUM_DIVISOR);
    return Math.max(minimum, pool.reachableCapacity() - shortLoad.requiredSlots(nowNanos));
  }

  private boolean startOne(final FairQueue lane, final boolean urgentOnly, final long nowNanos) {
    final boolean longWork = lane == queue.longQueue();
    boolean started = false;
    if (lane.size() > 0 && pool.hasFreeSlot(longWork)) {
      for (final QueuedRequest entry : lane.candidates(urgentOnly, MAX_TRIED)) {
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
    final RunningRequest use =
        new RunningRequest(entry.request, worker, entry.fairQueue, nowNanos, entry.expectedNanos);
    use.longWork = longWork;
    running.start(use);
    pool.recordGrant(entry.request, worker, nowNanos);
    listener.granted(entry.request.id(), worker.vm);
  }

  /**
   * Returns the demand of the service and starts counting refusals anew.
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
   * Returns the present figures for the state dump.
   *
   * @return the figures
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
