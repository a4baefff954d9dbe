package org.lentilsail.measure.waiting;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.lentilsail.policy.dispatch.WorkerResult;
import org.lentilsail.policy.health.AttemptLimit;
import org.lentilsail.policy.health.HealthState;
import org.lentilsail.policy.health.ServiceHealth;

/**
 * Baseline: each entry daemon sends to the worker to which it has the fewest connections; what the
 * worker cannot run waits inside it in order of arrival.
 */
final class LeastConnectionsStrategy implements DispatchStrategy {
  /** The workers and the network. */
  private final ServiceSimulation simulation;

  /** Connections by daemon and worker. */
  private final int[][] connections;

  /** Health of the workers as each daemon sees it. */
  private final List<ServiceHealth> health = new ArrayList<>();

  /** Breaks ties. */
  private final Random random = new Random(1);

  LeastConnectionsStrategy(final ServiceSimulation world) {
    this.simulation = world;
    this.connections = new int[Deployment.DAEMONS][world.workers];
    for (int daemon = 0; daemon < Deployment.DAEMONS; daemon++) {
      final ServiceHealth assessment = new ServiceHealth(random);
      for (int worker = 0; worker < world.workers; worker++) {
        assessment.add(Integer.toString(worker));
      }
      health.add(assessment);
    }
  }

  @Override
  public void arrive(final Job job) {
    send(job);
    simulation.loop.at(
        job.deadlineNanos,
        () -> {
          if (!job.finished && job.attempt.startedNanos == 0) {
            simulation.statistics.expired(job);
            simulation.closeConnection(job);
          }
        });
  }

  private void send(final Job job) {
    final int worker = choose(job);
    if (!AttemptLimit.mayRetry(job.failedWorkers.size())) {
      simulation.statistics.failed(job);
    } else if (worker < 0) {
      simulation.statistics.refused(job);
    } else {
      connections[job.daemon][worker]++;
      simulation.send(job, worker, result -> ended(job, worker, result));
    }
  }

  private int choose(final Job job) {
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

  private void ended(final Job job, final int worker, final WorkerResult result) {
    connections[job.daemon][worker]--;
    final ServiceHealth assessment = health.get(job.daemon);
    if (result == WorkerResult.OK) {
      assessment.succeeded(Integer.toString(worker));
    } else if (result == WorkerResult.FAILED) {
      assessment.failed(Integer.toString(worker), simulation.loop.now());
    }
    if (!job.finished && result == WorkerResult.OK) {
      simulation.statistics.done(job);
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
