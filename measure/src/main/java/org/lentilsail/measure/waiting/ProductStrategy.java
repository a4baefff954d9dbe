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

/** The product: one dispatcher in zone 0, and one of its own for a zone that is cut off. */
final class ProductStrategy implements DispatchStrategy {
  /** Time in ns after which the next daemon takes over from a silent dispatcher. */
  private static final long TAKEOVER_NANOS = 500_000_000L;

  /** Time in ns after which the slots of a silent daemon are freed. */
  private static final long DEAD_NANOS = 1_000_000_000L;

  /** Time in ns after the last arrival in which every job starts or expires. */
  private static final long DRAIN_NANOS = 60_000_000_000L;

  /** Interval of the ticks in ns. */
  private static final long TICK_NANOS = 10_000_000L;

  /** The workers and the network. */
  private final ServiceSimulation simulation;

  /** Dispatcher of all daemons that are not cut off. */
  private final Site main;

  /** Dispatcher of the zone that is cut off. */
  private final Site island;

  /** Jobs by number of the demand. */
  private final Map<Long, Job> jobs = new HashMap<>();

  /** Number of the last demand. */
  private long lastNumber;

  ProductStrategy(final ServiceSimulation world) {
    this.simulation = world;
    this.main = new Site(0);
    this.island = new Site(world.unreachableZone);
    world.loop.at(world.unreachableFromNanos + TAKEOVER_NANOS, this::takeOver);
    world.loop.at(world.unreachableFromNanos + DEAD_NANOS, this::freeCutDaemons);
    tick();
  }

  private void tick() {
    main.dispatcher.advance(simulation.loop.now());
    island.dispatcher.advance(simulation.loop.now());
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
                  ask(job);
                }
              });
    }
  }

  private void freeCutDaemons() {
    if (simulation.isUnreachable(simulation.unreachableZone)) {
      for (int daemon = 0; daemon < Deployment.DAEMONS; daemon++) {
        if (simulation.deployment.zone(daemon) == simulation.unreachableZone) {
          main.dispatcher.releaseDaemon("d" + daemon, simulation.loop.now());
        }
      }
    }
  }

  @Override
  public void arrive(final Job job) {
    ask(job);
    simulation.loop.at(
        job.deadlineNanos,
        () -> {
          if (!job.finished && job.attempt == null) {
            simulation.statistics.expired(job);
          }
        });
  }

  private void ask(final Job job) {
    final long number = ++lastNumber;
    final boolean cut = simulation.isUnreachable(simulation.daemonZone(job));
    final boolean early = simulation.loop.now() < simulation.unreachableFromNanos + TAKEOVER_NANOS;
    jobs.put(number, job);
    if (!cut || !early) {
      final Site site = cut ? island : main;
      site.toDispatcher(job, () -> site.submit(job, number));
    }
  }

  @Override
  public void cancel(final Job job) {
    if (job.attempt == null) {
      final DispatchRequestId main0 = id(job);
      main.toDispatcher(job, () -> main.dispatcher.cancel(main0, simulation.loop.now()));
      island.toDispatcher(job, () -> island.dispatcher.cancel(main0, simulation.loop.now()));
    } else {
      simulation.closeConnection(job);
    }
  }

  private DispatchRequestId id(final Job job) {
    long number = 0;
    for (final Map.Entry<Long, Job> entry : jobs.entrySet()) {
      if (entry.getValue() == job) {
        number = entry.getKey();
      }
    }
    return new DispatchRequestId("d" + job.daemon, number);
  }

  /** A dispatcher and the daemons' way to it. */
  private final class Site implements DispatchListener {
    /** Zone of the dispatcher. */
    private final int zone;

    /** The decisions under measurement. */
    private final ServiceDispatcher dispatcher;

    Site(final int zone) {
      this.zone = zone;
      this.dispatcher =
          new ServiceDispatcher(new DispatchSettings(200, 256, Map.of()), new Random(zone), this);
      for (int worker = 0; worker < simulation.workers; worker++) {
        final String name = "z" + simulation.deployment.zone(worker);
        dispatcher.putWorker(Integer.toString(worker), name, WorkerMode.OPEN, 0);
      }
    }

    private void toDispatcher(final Job job, final Runnable action) {
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
        simulation.loop.after(hop, () -> use(job, id, Integer.parseInt(vm)));
      }
    }

    private void use(final Job job, final DispatchRequestId id, final int worker) {
      if (jobs.remove(id.number()) == null || job.finished) {
        toDispatcher(job, () -> release(id, WorkerResult.NEUTRAL, 0));
      } else {
        final long sent = simulation.loop.now();
        simulation.send(
            job, worker, result -> ended(job, id, result, simulation.loop.now() - sent));
      }
    }

    private void ended(
        final Job job, final DispatchRequestId id, final WorkerResult result, final long runNanos) {
      toDispatcher(job, () -> release(id, result, runNanos));
      if (!job.finished && result == WorkerResult.OK) {
        simulation.statistics.done(job);
      } else if (!job.finished) {
        job.failedWorkers.add(job.attempt.worker);
        job.attempt = null;
        ask(job);
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
          simulation.statistics.failed(job);
        } else if (simulation.loop.now() >= job.deadlineNanos) {
          simulation.statistics.expired(job);
        } else {
          simulation.statistics.refused(job);
        }
      }
    }
  }
}
