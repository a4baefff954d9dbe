package org.lentilsail.measure.waiting;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Random;
import java.util.Set;
import org.lentilsail.policy.dispatch.WorkerResult;
import org.lentilsail.policy.health.AttemptLimit;
import org.lentilsail.policy.health.HealthState;
import org.lentilsail.policy.health.ServiceHealth;

/**
 * Baseline: one queue in order of arrival for the whole service, reached without delay. With only
 * short work and no failures it is the bound.
 */
final class CentralFifoStrategy implements DispatchStrategy {
  /** The workers and the network. */
  private final ServiceSimulation simulation;

  /** Most jobs that wait. */
  private final int queueLimit;

  /** Waiting jobs in order of arrival. */
  private final Set<Job> queue = new LinkedHashSet<>();

  /** Slots in use by worker. */
  private final int[] busy;

  /** Health of the workers. */
  private final ServiceHealth health = new ServiceHealth(new Random(1));

  CentralFifoStrategy(final ServiceSimulation world, final int queueLimit) {
    this.simulation = world;
    this.queueLimit = queueLimit;
    this.busy = new int[world.workers];
    for (int worker = 0; worker < world.workers; worker++) {
      health.add(Integer.toString(worker));
    }
  }

  @Override
  public void arrive(final Job job) {
    add(job);
    simulation.loop.at(
        job.deadlineNanos,
        () -> {
          if (queue.remove(job)) {
            simulation.statistics.expired(job);
          }
        });
  }

  private void add(final Job job) {
    if (!AttemptLimit.mayRetry(job.failedWorkers.size())) {
      simulation.statistics.failed(job);
    } else {
      queue.add(job);
      startAll();
      if (queue.size() > queueLimit && queue.remove(job)) {
        simulation.statistics.refused(job);
      }
    }
  }

  private void startAll() {
    boolean more = true;
    while (more && !queue.isEmpty()) {
      final Iterator<Job> jobs = queue.iterator();
      final Job job = jobs.next();
      final int worker = choose(job);
      more = worker >= 0;
      if (more) {
        jobs.remove();
        busy[worker]++;
        simulation.send(job, worker, result -> ended(job, worker, result));
      }
    }
  }

  private int choose(final Job job) {
    int best = -1;
    for (int worker = 0; worker < simulation.workers; worker++) {
      final HealthState state = health.state(Integer.toString(worker), simulation.loop.now());
      final int slots = state == HealthState.HEALTHY ? ServiceSimulation.SLOTS : 1;
      if (state != HealthState.WITHDRAWN
          && busy[worker] < slots
          && !job.failedWorkers.contains(worker)
          && (best < 0 || busy[worker] < busy[best])) {
        best = worker;
      }
    }
    return best;
  }

  private void ended(final Job job, final int worker, final WorkerResult result) {
    busy[worker]--;
    if (result == WorkerResult.OK) {
      health.succeeded(Integer.toString(worker));
    } else if (result == WorkerResult.FAILED) {
      health.failed(Integer.toString(worker), simulation.loop.now());
    }
    if (!job.finished && result == WorkerResult.OK) {
      simulation.statistics.done(job);
    } else if (!job.finished) {
      job.failedWorkers.add(worker);
      job.attempt = null;
      add(job);
    }
    startAll();
  }

  @Override
  public void cancel(final Job job) {
    if (!queue.remove(job)) {
      simulation.closeConnection(job);
    }
    startAll();
  }
}
