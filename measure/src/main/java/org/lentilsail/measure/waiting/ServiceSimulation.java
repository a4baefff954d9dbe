package org.lentilsail.measure.waiting;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.lentilsail.policy.dispatch.WorkerResult;

/** Simulates the workers of one service, the network, and failures that depend on the seed. */
final class ServiceSimulation {
  /** Number of requests that a worker runs concurrently. */
  static final int SLOTS = 8;

  /** Maximum connections of a worker; requests in excess of its slots wait on the worker. */
  private static final int MAX_CONNECTIONS = 64;

  /** Connection timeout in ns for an unreachable worker. */
  private static final long CONNECT_TIMEOUT_NANOS = 200_000_000L;

  /** Time in ns after its start at which a failing request fails. */
  private static final long FAILING_RUN_NANOS = 1_000_000L;

  /** Duration in ns of the worker failure, and of the unreachable zone. */
  private static final long FAILURE_NANOS = 4_000_000_000L;

  final EventLoop loop = new EventLoop();

  final Deployment deployment;

  final int workers;

  /** Waits and outcomes of the jobs. */
  final JobStatistics statistics;

  /** Whether a worker fails and a zone is unreachable for a time. */
  private final boolean injectFailures;

  /** Number of running attempts by worker. */
  private final int[] running;

  /** Attempts that wait on a worker, by worker. */
  private final List<Deque<Attempt>> waiting = new ArrayList<>();

  /** Worker that fails all requests for a time. */
  private final int failingWorker;

  /** Time in ns from which that worker fails all requests. */
  private final long failingFromNanos;

  /** Zone that is unreachable from the other zones for a time. */
  final int unreachableZone;

  /** Time in ns from which the zone is unreachable. */
  final long unreachableFromNanos;

  ServiceSimulation(
      final Deployment deployment,
      final int service,
      final long seed,
      final boolean injectFailures,
      final JobStatistics statistics) {
    this.deployment = deployment;
    this.workers = deployment.workers().get(service);
    this.statistics = statistics;
    this.injectFailures = injectFailures;
    this.running = new int[workers];
    for (int i = 0; i < workers; i++) {
      waiting.add(new ArrayDeque<>());
    }
    final Random random = new Random(seed * 17 + service);
    final long peak = JobSource.PEAK_NANOS * service;
    failingWorker = random.nextInt(workers);
    failingFromNanos = peak + random.nextInt(1_000) * 1_000_000L;
    unreachableZone = 1 + random.nextInt(deployment.zones() - 1);
    unreachableFromNanos = JobSource.END_NANOS / 2 + peak + random.nextInt(1_000) * 1_000_000L;
  }

  long unreachableUntilNanos() {
    return unreachableFromNanos + FAILURE_NANOS;
  }

  boolean isUnreachable(final int zone) {
    final long now = loop.now();
    return injectFailures
        && zone == unreachableZone
        && now >= unreachableFromNanos
        && now < unreachableUntilNanos();
  }

  boolean areConnected(final int fromZone, final int toZone) {
    return fromZone == toZone || !isUnreachable(fromZone) && !isUnreachable(toZone);
  }

  private boolean fails(final Attempt attempt) {
    final long now = loop.now();
    final boolean workerFails = now >= failingFromNanos && now < failingFromNanos + FAILURE_NANOS;
    return attempt.job.poison || injectFailures && workerFails && attempt.worker == failingWorker;
  }

  int daemonZone(final Job job) {
    return deployment.zone(job.daemon);
  }

  /** Sends a job from its entry daemon to a worker. */
  void send(final Job job, final int worker, final Consumer<WorkerResult> resultListener) {
    final Attempt attempt = new Attempt(job, worker, resultListener);
    job.attempt = attempt;
    final int zone = deployment.zone(worker);
    if (areConnected(daemonZone(job), zone)) {
      loop.after(deployment.hop(daemonZone(job), zone), () -> arrive(attempt));
    } else {
      loop.after(CONNECT_TIMEOUT_NANOS, () -> reply(attempt, WorkerResult.FAILED));
    }
  }

  private void arrive(final Attempt attempt) {
    final Deque<Attempt> queue = waiting.get(attempt.worker);
    if (attempt.finished) {
      return;
    }
    if (running[attempt.worker] < SLOTS) {
      start(attempt);
    } else if (queue.size() < MAX_CONNECTIONS - SLOTS) {
      queue.add(attempt);
    } else {
      reply(attempt, WorkerResult.FAILED);
    }
  }

  private void start(final Attempt attempt) {
    running[attempt.worker]++;
    attempt.startedNanos = loop.now();
    final boolean fails = fails(attempt);
    final long run = fails ? FAILING_RUN_NANOS : attempt.job.runNanos;
    loop.after(run, () -> finish(attempt, fails ? WorkerResult.FAILED : WorkerResult.OK));
  }

  private void finish(final Attempt attempt, final WorkerResult result) {
    if (!attempt.finished) {
      reply(attempt, result);
      if (attempt.startedNanos > 0) {
        running[attempt.worker]--;
        final Attempt next = waiting.get(attempt.worker).poll();
        if (next != null) {
          start(next);
        }
      }
    }
  }

  private void reply(final Attempt attempt, final WorkerResult result) {
    if (!attempt.finished) {
      attempt.finished = true;
      final int zone = deployment.zone(attempt.worker);
      loop.after(
          deployment.hop(zone, daemonZone(attempt.job)),
          () -> attempt.resultListener.accept(result));
    }
  }

  /** Closes the connection of the attempt in progress, so that the worker stops it. */
  void closeConnection(final Job job) {
    final Attempt attempt = job.attempt;
    if (attempt != null && !attempt.finished) {
      waiting.get(attempt.worker).remove(attempt);
      finish(attempt, WorkerResult.NEUTRAL);
    }
  }
}
