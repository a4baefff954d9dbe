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
final class CentralFifoStrategy implements Strategy {
  /** The workers and the network. */
  private final World world;

  /** Most jobs that wait. */
  private final int queueLimit;

  /** Waiting jobs in order of arrival. */
  private final Set<Job> queue = new LinkedHashSet<>();

  /** Slots in use by worker. */
  private final int[] busy;

  /** Health of the workers. */
  private final ServiceHealth health = new ServiceHealth(new Random(1));

  CentralFifoStrategy(final World world, final int queueLimit) {
    this.world = world;
    this.queueLimit = queueLimit;
    this.busy = new int[world.workers];
    for (int worker = 0; worker < world.workers; worker++) {
      health.add(Integer.toString(worker));
    }
  }

  @Override
  public void arrive(final Job job) {
    add(job);
    world.loop.at(
        job.deadlineNanos,
        () -> {
          if (queue.remove(job)) {
            world.outcome.expired(job);
          }
        });
  }

  private void add(final Job job) {
    if (!AttemptLimit.mayRetry(job.failedWorkers.size())) {
      world.outcome.failed(job);
    } else {
      queue.add(job);
      startAll();
      if (queue.size() > queueLimit && queue.remove(job)) {
        world.outcome.refused(job);
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
        world.send(job, worker, result -> ended(job, worker, result));
      }
    }
  }

  private int choose(final Job job) {
    int best = -1;
    for (int worker = 0; worker < world.workers; worker++) {
      final HealthState state = health.state(Integer.toString(worker), world.loop.now());
      final int slots = state == HealthState.HEALTHY ? World.SLOTS : 1;
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
      health.failed(Integer.toString(worker), world.loop.now());
    }
    if (!job.over && result == WorkerResult.OK) {
      world.outcome.done(job);
    } else if (!job.over) {
      job.failedWorkers.add(worker);
      job.attempt = null;
      add(job);
    }
    startAll();
  }

  @Override
  public void cancel(final Job job) {
    if (!queue.remove(job)) {
      world.close(job);
    }
    startAll();
  }
}
