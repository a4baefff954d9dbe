package org.lentilsail.measure.waiting;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.lentilsail.policy.dispatch.WorkerResult;

/** The workers of one service, the network, and the failures that a seed brings. */
final class ServiceSimulation {
  /** Requests that a worker runs concurrently. */
  static final int SLOTS = 8;

  /** Connections of a worker: what is not running waits inside it. */
  private static final int CONNECTIONS = 64;

  /** Time in ns after which a connection to an unreachable worker is given up. */
  private static final long CONNECT_LIMIT_NANOS = 200_000_000L;

  /** Time in ns after which a worker that fails everything fails a request. */
  private static final long FAIL_NANOS = 1_000_000L;

  /** Length in ns of the failures. */
  private static final long FAULT_NANOS = 4_000_000_000L;

  /** The event loop. */
  final EventLoop loop = new EventLoop();

  /** Size of the deployment. */
  final Deployment deployment;

  /** Number of workers. */
  final int workers;

  /** What has come of the jobs. */
  final JobStatistics statistics;

  /** Whether failures happen. */
  private final boolean injectFailures;

  /** Attempts that run, by worker. */
  private final int[] running;

  /** Attempts that wait inside the workers. */
  private final List<Deque<Attempt>> waiting = new ArrayList<>();

  /** Worker that fails everything for a time. */
  private final int failingWorker;

  /** Time in ns from which that worker fails everything. */
  private final long failingFromNanos;

  /** Zone that is cut off for a time. */
  final int unreachableZone;

  /** Time in ns from which the zone is cut off. */
  final long unreachableFromNanos;

  ServiceSimulation(
      final Deployment deployment,
      final int service,
      final long seed,
      final boolean faults,
      final JobStatistics outcome) {
    this.deployment = deployment;
    this.workers = deployment.workers().get(service);
    this.statistics = outcome;
    this.injectFailures = faults;
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
    return unreachableFromNanos + FAULT_NANOS;
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
    final boolean bad = now >= failingFromNanos && now < failingFromNanos + FAULT_NANOS;
    return attempt.job.poison || injectFailures && bad && attempt.worker == failingWorker;
  }

  int daemonZone(final Job job) {
    return deployment.zone(job.daemon);
  }

  /** Sends a job from its entry daemon to a worker. */
  void send(final Job job, final int worker, final Consumer<WorkerResult> end) {
    final Attempt attempt = new Attempt(job, worker, end);
    job.attempt = attempt;
    final int zone = deployment.zone(worker);
    if (areConnected(daemonZone(job), zone)) {
      loop.after(deployment.hop(daemonZone(job), zone), () -> arrive(attempt));
    } else {
      loop.after(CONNECT_LIMIT_NANOS, () -> answer(attempt, WorkerResult.FAILED));
    }
  }

  private void arrive(final Attempt attempt) {
    final Deque<Attempt> queue = waiting.get(attempt.worker);
    if (attempt.finished) {
      return;
    }
    if (running[attempt.worker] < SLOTS) {
      start(attempt);
    } else if (queue.size() < CONNECTIONS - SLOTS) {
      queue.add(attempt);
    } else {
      answer(attempt, WorkerResult.FAILED);
    }
  }

  private void start(final Attempt attempt) {
    running[attempt.worker]++;
    attempt.startedNanos = loop.now();
    final boolean fails = fails(attempt);
    final long run = fails ? FAIL_NANOS : attempt.job.runNanos;
    loop.after(run, () -> finish(attempt, fails ? WorkerResult.FAILED : WorkerResult.OK));
  }

  private void finish(final Attempt attempt, final WorkerResult result) {
    if (!attempt.finished) {
      answer(attempt, result);
      if (attempt.startedNanos > 0) {
        running[attempt.worker]--;
        final Attempt next = waiting.get(attempt.worker).poll();
        if (next != null) {
          start(next);
        }
      }
    }
  }

  private void answer(final Attempt attempt, final WorkerResult result) {
    if (!attempt.finished) {
      attempt.finished = true;
      final int zone = deployment.zone(attempt.worker);
      loop.after(
          deployment.hop(zone, daemonZone(attempt.job)),
          () -> attempt.resultListener.accept(result));
    }
  }

  /** Closes the connection of the attempt that is under way; the worker stops it. */
  void closeConnection(final Job job) {
    final Attempt attempt = job.attempt;
    if (attempt != null && !attempt.finished) {
      waiting.get(attempt.worker).remove(attempt);
      finish(attempt, WorkerResult.NEUTRAL);
    }
  }
}
