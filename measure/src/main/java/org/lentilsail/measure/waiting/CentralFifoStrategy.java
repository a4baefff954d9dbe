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
 * Baseline: one FIFO queue per service, reached without network delay. With short jobs only and no
 * failures, its waits are the bound for the other strategies.
 */
final class CentralFifoStrategy implements DispatchStrategy {
  private final ServiceSimulation simulation;

  /** Maximum number of waiting jobs. */
  private final int queueLimit;

  /** Waiting jobs in order of arrival. */
  private final Set<Job> queue = new LinkedHashSet<>();

  /** Number of used slots by worker. */
  private final int[] busy;

  /** Health of the workers, known without delay. */
  private final ServiceHealth health = new ServiceHealth(new Random(1));

  CentralFifoStrategy(final ServiceSimulation simulation, final int queueLimit) {
    this.simulation = simulation;
    this.queueLimit = queueLimit;
    this.busy = new int[simulation.workers];
    for (int worker = 0; worker < simulation.workers; worker++) {
      health.add(Integer.toString(worker));
    }
  }

  @Override
  public void arrive(final Job job) {
    enqueue(job);
    simulation.loop.at(
        job.deadlineNanos,
        () -> {
          if (queue.remove(job)) {
            simulation.statistics.recordExpired(job);
          }
        });
  }

  private void enqueue(final Job job) {
    if (!AttemptLimit.mayRetry(job.failedWorkers.size())) {
      simulation.statistics.recordFailed(job);
    } else {
      queue.add(job);
      startWaiting();
      if (queue.size() > queueLimit && queue.remove(job)) {
        simulation.statistics.recordRejected(job);
      }
    }
  }

  private void startWaiting() {
    boolean workerFound = true;
    while (workerFound && !queue.isEmpty()) {
      final Iterator<Job> jobs = queue.iterator();
      final Job job = jobs.next();
      final int worker = chooseWorker(job);
      workerFound = worker >= 0;
      if (workerFound) {
        jobs.remove();
        busy[worker]++;
        simulation.send(job, worker, result -> onResult(job, worker, result));
      }
    }
  }

  private int chooseWorker(final Job job) {
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

  private void onResult(final Job job, final int worker, final WorkerResult result) {
    busy[worker]--;
    if (result == WorkerResult.OK) {
      health.succeeded(Integer.toString(worker));
    } else if (result == WorkerResult.FAILED) {
      health.failed(Integer.toString(worker), simulation.loop.now());
    }
    if (!job.finished && result == WorkerResult.OK) {
      simulation.statistics.recordCompleted(job);
    } else if (!job.finished) {
      job.failedWorkers.add(worker);
      job.attempt = null;
      enqueue(job);
    }
    startWaiting();
  }

  @Override
  public void cancel(final Job job) {
    if (!queue.remove(job)) {
      simulation.closeConnection(job);
    }
    startWaiting();
  }
}
