package org.lentilsail.measure.waiting;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.lentilsail.policy.dispatch.DispatchListener;
import org.lentilsail.policy.dispatch.DispatchRequest;
import org.lentilsail.policy.dispatch.DispatchRequestId;
import org.lentilsail.policy.dispatch.DispatchSettings;
import org.lentilsail.policy.dispatch.RefusalReason;
import org.lentilsail.policy.dispatch.ServiceDispatcher;
import org.lentilsail.policy.dispatch.WorkerMode;
import org.lentilsail.policy.dispatch.WorkerResult;

/** The product: one dispatcher in zone 0, and a second one in the zone that is unreachable. */
final class ProductStrategy implements DispatchStrategy {
  /** Time in ns after which the next daemon takes over from an unresponsive dispatcher. */
  private static final long TAKEOVER_NANOS = 500_000_000L;

  /** Time in ns after which the slots of an unresponsive daemon are released. */
  private static final long DAEMON_TIMEOUT_NANOS = 1_000_000_000L;

  /** Time in ns after the last arrival within which every job starts or expires. */
  private static final long DRAIN_NANOS = 60_000_000_000L;

  /** Interval in ns at which the dispatchers are advanced. */
  private static final long TICK_NANOS = 10_000_000L;

  private final ServiceSimulation simulation;

  /** Dispatcher of all daemons outside an unreachable zone. */
  private final DispatcherSite mainSite;

  /** Dispatcher of the unreachable zone. */
  private final DispatcherSite unreachableSite;

  /** Jobs by the number of their slot request. */
  private final Map<Long, Job> jobs = new HashMap<>();

  /** Number of the latest slot request. */
  private long lastNumber;

  ProductStrategy(final ServiceSimulation simulation) {
    this.simulation = simulation;
    this.mainSite = new DispatcherSite(0);
    this.unreachableSite = new DispatcherSite(simulation.unreachableZone);
    simulation.loop.at(simulation.unreachableFromNanos + TAKEOVER_NANOS, this::takeOver);
    simulation.loop.at(
        simulation.unreachableFromNanos + DAEMON_TIMEOUT_NANOS, this::releaseUnreachableDaemons);
    tick();
  }

  private void tick() {
    mainSite.dispatcher.advance(simulation.loop.now());
    unreachableSite.dispatcher.advance(simulation.loop.now());
    if (simulation.loop.now() < JobSource.END_NANOS + DRAIN_NANOS) {
      simulation.loop.after(TICK_NANOS, this::tick);
    }
  }

  private void takeOver() {
    if (simulation.isUnreachable(simulation.unreachableZone)) {
      Map.copyOf(jobs)
          .forEach(
              (number, job) -> {
                if (!job.finished
                    && simulation.isUnreachable(simulation.daemonZone(job))
                    && job.attempt == null) {
                  jobs.remove(number);
                  requestSlot(job);
                }
              });
    }
  }

  private void releaseUnreachableDaemons() {
    if (simulation.isUnreachable(simulation.unreachableZone)) {
      for (int daemon = 0; daemon < Deployment.DAEMONS; daemon++) {
        if (simulation.deployment.zone(daemon) == simulation.unreachableZone) {
          mainSite.dispatcher.releaseDaemon("d" + daemon, simulation.loop.now());
        }
      }
    }
  }

  @Override
  public void arrive(final Job job) {
    requestSlot(job);
    simulation.loop.at(
        job.deadlineNanos,
        () -> {
          if (!job.finished && job.attempt == null) {
            simulation.statistics.recordExpired(job);
          }
        });
  }

  private void requestSlot(final Job job) {
    final long number = ++lastNumber;
    final boolean zoneUnreachable = simulation.isUnreachable(simulation.daemonZone(job));
    final boolean beforeTakeover =
        simulation.loop.now() < simulation.unreachableFromNanos + TAKEOVER_NANOS;
    jobs.put(number, job);
    if (!zoneUnreachable || !beforeTakeover) {
      final DispatcherSite target = zoneUnreachable ? unreachableSite : mainSite;
      target.sendToDispatcher(job, () -> target.submit(job, number));
    }
  }

  @Override
  public void cancel(final Job job) {
    if (job.attempt == null) {
      final DispatchRequestId requestId = requestId(job);
      mainSite.sendToDispatcher(
          job, () -> mainSite.dispatcher.cancel(requestId, simulation.loop.now()));
      unreachableSite.sendToDispatcher(
          job, () -> unreachableSite.dispatcher.cancel(requestId, simulation.loop.now()));
    } else {
      simulation.closeConnection(job);
    }
  }

  private DispatchRequestId requestId(final Job job) {
    long number = 0;
    for (final Map.Entry<Long, Job> entry : jobs.entrySet()) {
      if (entry.getValue() == job) {
        number = entry.getKey();
      }
    }
    return new DispatchRequestId("d" + job.daemon, number);
  }

  /** A dispatcher and the network between it and the daemons. */
  private final class DispatcherSite implements DispatchListener {
    private final int zone;

    /** The product's dispatcher, whose decisions are measured. */
    private final ServiceDispatcher dispatcher;

    DispatcherSite(final int zone) {
      this.zone = zone;
      this.dispatcher =
          new ServiceDispatcher(new DispatchSettings(200, 256, Map.of()), new Random(zone), this);
      for (int worker = 0; worker < simulation.workers; worker++) {
        final String name = "z" + simulation.deployment.zone(worker);
        dispatcher.putWorker(Integer.toString(worker), name, WorkerMode.OPEN, 0);
      }
    }

    private void sendToDispatcher(final Job job, final Runnable action) {
      simulation.loop.after(simulation.deployment.hop(simulation.daemonZone(job), zone), action);
    }

    private void submit(final Job job, final long number) {
      final Set<String> excluded =
          job.failedWorkers.stream().map(String::valueOf).collect(Collectors.toSet());
      dispatcher.submit(
          new DispatchRequest(
              new DispatchRequestId("d" + job.daemon, number),
              "z" + simulation.daemonZone(job),
              job.path,
              job.team,
              job.urgent,
              job.declaredMillis,
              job.deadlineNanos,
              excluded),
          simulation.loop.now());
    }

    @Override
    public void granted(final DispatchRequestId id, final String vm) {
      final Job job = jobs.get(id.number());
      if (job == null) {
        simulation.loop.after(0, () -> release(id, WorkerResult.NEUTRAL, 0));
      } else {
        final long hop = simulation.deployment.hop(zone, simulation.daemonZone(job));
        simulation.loop.after(hop, () -> useSlot(job, id, Integer.parseInt(vm)));
      }
    }

    private void useSlot(final Job job, final DispatchRequestId id, final int worker) {
      if (jobs.remove(id.number()) == null || job.finished) {
        sendToDispatcher(job, () -> release(id, WorkerResult.NEUTRAL, 0));
      } else {
        final long sent = simulation.loop.now();
        simulation.send(
            job, worker, result -> onResult(job, id, result, simulation.loop.now() - sent));
      }
    }

    private void onResult(
        final Job job, final DispatchRequestId id, final WorkerResult result, final long runNanos) {
      sendToDispatcher(job, () -> release(id, result, runNanos));
      if (!job.finished && result == WorkerResult.OK) {
        simulation.statistics.recordCompleted(job);
      } else if (!job.finished) {
        job.failedWorkers.add(job.attempt.worker);
        job.attempt = null;
        requestSlot(job);
      }
    }

    private void release(
        final DispatchRequestId id, final WorkerResult result, final long runNanos) {
      dispatcher.release(id, result, runNanos, simulation.loop.now());
    }

    @Override
    public void refused(final DispatchRequestId id, final RefusalReason reason) {
      final Job job = jobs.remove(id.number());
      if (job != null && !job.finished) {
        if (reason == RefusalReason.STOPPED) {
          simulation.statistics.recordFailed(job);
        } else if (simulation.loop.now() >= job.deadlineNanos) {
          simulation.statistics.recordExpired(job);
        } else {
          simulation.statistics.recordRejected(job);
        }
      }
    }
  }
}
