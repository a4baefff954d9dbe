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
final class ProductStrategy implements Strategy {
  /** Time in ns after which the next daemon takes over from a silent dispatcher. */
  private static final long TAKEOVER_NANOS = 500_000_000L;

  /** Time in ns after which the slots of a silent daemon are freed. */
  private static final long DEAD_NANOS = 1_000_000_000L;

  /** Time in ns after the last arrival in which every job starts or expires. */
  private static final long DRAIN_NANOS = 60_000_000_000L;

  /** Interval of the ticks in ns. */
  private static final long TICK_NANOS = 10_000_000L;

  /** The workers and the network. */
  private final World world;

  /** Dispatcher of all daemons that are not cut off. */
  private final Site main;

  /** Dispatcher of the zone that is cut off. */
  private final Site island;

  /** Jobs by number of the demand. */
  private final Map<Long, Job> jobs = new HashMap<>();

  /** Number of the last demand. */
  private long lastNumber;

  ProductStrategy(final World world) {
    this.world = world;
    this.main = new Site(0);
    this.island = new Site(world.cutZone);
    world.loop.at(world.cutFromNanos + TAKEOVER_NANOS, this::takeOver);
    world.loop.at(world.cutFromNanos + DEAD_NANOS, this::freeCutDaemons);
    tick();
  }

  private void tick() {
    main.dispatcher.advance(world.loop.now());
    island.dispatcher.advance(world.loop.now());
    if (world.loop.now() < JobSource.END_NANOS + DRAIN_NANOS) {
      world.loop.after(TICK_NANOS, this::tick);
    }
  }

  private void takeOver() {
    if (world.cut(world.cutZone)) {
      Map.copyOf(jobs)
          .forEach(
              (number, job) -> {
                if (!job.over && world.cut(world.daemonZone(job)) && job.attempt == null) {
                  jobs.remove(number);
                  ask(job);
                }
              });
    }
  }

  private void freeCutDaemons() {
    if (world.cut(world.cutZone)) {
      for (int daemon = 0; daemon < Deployment.DAEMONS; daemon++) {
        if (world.deployment.zone(daemon) == world.cutZone) {
          main.dispatcher.releaseDaemon("d" + daemon, world.loop.now());
        }
      }
    }
  }

  @Override
  public void arrive(final Job job) {
    ask(job);
    world.loop.at(
        job.deadlineNanos,
        () -> {
          if (!job.over && job.attempt == null) {
            world.outcome.expired(job);
          }
        });
  }

  private void ask(final Job job) {
    final long number = ++lastNumber;
    final boolean cut = world.cut(world.daemonZone(job));
    final boolean early = world.loop.now() < world.cutFromNanos + TAKEOVER_NANOS;
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
      main.toDispatcher(job, () -> main.dispatcher.cancel(main0, world.loop.now()));
      island.toDispatcher(job, () -> island.dispatcher.cancel(main0, world.loop.now()));
    } else {
      world.close(job);
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
      for (int worker = 0; worker < world.workers; worker++) {
        final String name = "z" + world.deployment.zone(worker);
        dispatcher.putWorker(Integer.toString(worker), name, WorkerMode.OPEN, 0);
      }
    }

    private void toDispatcher(final Job job, final Runnable action) {
      world.loop.after(world.deployment.hop(world.daemonZone(job), zone), action);
    }

    private void submit(final Job job, final long number) {
      final Set<String> excluded =
          job.failedWorkers.stream().map(String::valueOf).collect(Collectors.toSet());
      dispatcher.submit(
          new DispatchRequest(
              new DispatchRequestId("d" + job.daemon, number),
              "z" + world.daemonZone(job),
              job.path,
              job.team,
              job.urgent,
              job.declaredMillis,
              job.deadlineNanos,
              excluded),
          world.loop.now());
    }

    @Override
    public void granted(final DispatchRequestId id, final String vm) {
      final Job job = jobs.get(id.number());
      if (job == null) {
        world.loop.after(0, () -> release(id, WorkerResult.NEUTRAL, 0));
      } else {
        final long hop = world.deployment.hop(zone, world.daemonZone(job));
        world.loop.after(hop, () -> use(job, id, Integer.parseInt(vm)));
      }
    }

    private void use(final Job job, final DispatchRequestId id, final int worker) {
      if (jobs.remove(id.number()) == null || job.over) {
        toDispatcher(job, () -> release(id, WorkerResult.NEUTRAL, 0));
      } else {
        final long sent = world.loop.now();
        world.send(job, worker, result -> ended(job, id, result, world.loop.now() - sent));
      }
    }

    private void ended(
        final Job job, final DispatchRequestId id, final WorkerResult result, final long runNanos) {
      toDispatcher(job, () -> release(id, result, runNanos));
      if (!job.over && result == WorkerResult.OK) {
        world.outcome.done(job);
      } else if (!job.over) {
        job.failedWorkers.add(job.attempt.worker);
        job.attempt = null;
        ask(job);
      }
    }

    private void release(
        final DispatchRequestId id, final WorkerResult result, final long runNanos) {
      dispatcher.release(id, result, runNanos, world.loop.now());
    }

    @Override
    public void refused(final DispatchRequestId id, final RefusalReason reason) {
      final Job job = jobs.remove(id.number());
      if (job != null && !job.over) {
        if (reason == RefusalReason.STOPPED) {
          world.outcome.failed(job);
        } else if (world.loop.now() >= job.deadlineNanos) {
          world.outcome.expired(job);
        } else {
          world.outcome.refused(job);
        }
      }
    }
  }
}
