package org.lentilsail.measure.waiting;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.lentilsail.policy.dispatch.WorkerResult;
import org.lentilsail.policy.health.AttemptLimit;
import org.lentilsail.policy.health.HealthState;
import org.lentilsail.policy.health.ServiceHealth;

/**
 * Baseline: each entry daemon sends a job to the worker to which it has the fewest connections.
 * Jobs that exceed the slots of a worker wait in a FIFO queue of the worker.
 */
final class LeastConnectionsStrategy implements DispatchStrategy {
  private final ServiceSimulation simulation;

  /** Number of open connections by daemon and worker. */
  private final int[][] connections;

  /** Health of the workers as observed by each daemon. */
  private final List<ServiceHealth> health = new ArrayList<>();

  /** Selects among workers with the same number of connections. */
  private final Random random = new Random(1);

  LeastConnectionsStrategy(final ServiceSimulation simulation) {
    this.simulation = simulation;
    this.connections = new int[Deployment.DAEMONS][simulation.workers];
    for (int daemon = 0; daemon < Deployment.DAEMONS; daemon++) {
      final ServiceHealth daemonHealth = new ServiceHealth(random);
      for (int worker = 0; worker < simulation.workers; worker++) {
        daemonHealth.add(Integer.toString(worker));
      }
      health.add(daemonHealth);
    }
  }

  @Override
  public void arrive(final Job job) {
    send(job);
    simulation.loop.at(
        job.deadlineNanos,
        () -> {
          if (!job.finished && job.attempt.startedNanos == 0) {
            simulation.statistics.recordExpired(job);
            simulation.closeConnection(job);
          }
        });
  }

  private void send(final Job job) {
    final int worker = chooseWorker(job);
    if (!AttemptLimit.mayRetry(job.failedWorkers.size())) {
      simulation.statistics.recordFailed(job);
    } else if (worker < 0) {
      simulation.statistics.recordRejected(job);
    } else {
      connections[job.daemon][worker]++;
      simulation.send(job, worker, result -> onResult(job, worker, result));
    }
  }

  private int chooseWorker(final Job job) {
    int best = -1;
    final int first = random.nextInt(simulation.workers);
    for (int i = 0; i < simulation.workers; i++) {
      final int worker = (first + i) % simulation.workers;
      final HealthState state =
          health.get(job.daemon).state(Integer.toString(worker), simulation.loop.now());
      final boolean usable =
          state == HealthState.HEALTHY
              || state == HealthState.ON_TRIAL && connections[job.daemon][worker] == 0;
      if (usable
          && !job.failedWorkers.contains(worker)
          && (best < 0 || connections[job.daemon][worker] < connections[job.daemon][best])) {
        best = worker;
      }
    }
    return best;
  }

  private void onResult(final Job job, final int worker, final WorkerResult result) {
    connections[job.daemon][worker]--;
    final ServiceHealth daemonHealth = health.get(job.daemon);
    if (result == WorkerResult.OK) {
      daemonHealth.succeeded(Integer.toString(worker));
    } else if (result == WorkerResult.FAILED) {
      daemonHealth.failed(Integer.toString(worker), simulation.loop.now());
    }
    if (!job.finished && result == WorkerResult.OK) {
      simulation.statistics.recordCompleted(job);
    } else if (!job.finished) {
      job.failedWorkers.add(worker);
      send(job);
    }
  }

  @Override
  public void cancel(final Job job) {
    simulation.closeConnection(job);
  }
}
