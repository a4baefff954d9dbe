package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.ServiceSpec;
import org.lentilsail.model.job.StepSpec;

/** Measures the load of each pool from the jobs and the workers. */
public final class PoolLoadCalculator {
  /** Time in ns over which arriving jobs are counted. */
  private static final long ARRIVAL_NANOS = 800_000_000L;

  private static final double NANOS_PER_MILLI = 1_000_000.0;

  private final JobRegistry jobs;
  private final Fleet fleet;

  /** Sums of one service while they are gathered. */
  private static final class Sum {
    private int workers;
    private Resources capacity = Resources.NONE;
    private Resources lasting = Resources.NONE;
    private Resources shortRunning = Resources.NONE;
    private double work;
    private int waiting;
    private long waitingCpu;
    private double arrivedWork;
    private int minWorkers;
  }

  /**
   * Creates a measurement.
   *
   * @param jobs all jobs
   * @param fleet all workers
   */
  public PoolLoadCalculator(final JobRegistry jobs, final Fleet fleet) {
    this.jobs = jobs;
    this.fleet = fleet;
  }

  /**
   * Measures all pools.
   *
   * @param now monotonic time in ns
   * @return the load of each service that is not a spare pool
   */
  public List<PoolLoad> measure(final long now) {
    final Map<String, Sum> sums = new HashMap<>();
    for (final ServiceSpec service : jobs.configuration().services()) {
      if (!service.spare()) {
        sums.put(service.name(), new Sum());
      }
    }
    for (final WorkerState worker : fleet.workers()) {
      final Sum sum = sums.get(worker.entry().service());
      if (sum != null) {
        addWorker(sum, worker);
      }
    }
    for (final JobRun job : jobs.active()) {
      final Sum sum = sums.get(jobs.serviceOf(job));
      if (sum != null) {
        addJob(sum, job, now);
      }
    }
    final List<PoolLoad> loads = new ArrayList<>();
    sums.forEach(
        (service, sum) ->
            loads.add(
                new PoolLoad(
                    service,
                    sum.workers,
                    sum.capacity,
                    sum.lasting,
                    sum.shortRunning,
                    sum.work,
                    sum.waiting,
                    sum.waitingCpu,
                    (long) (sum.arrivedWork * NANOS_PER_MILLI / ARRIVAL_NANOS * 1000),
                    sum.minWorkers)));
    return loads;
  }

  private static void addWorker(final Sum sum, final WorkerState worker) {
    if (worker.isRegistered()
        && worker.isResponding()
        && !worker.isCordoned()
        && !worker.entry().draining()) {
      sum.workers++;
      sum.capacity = sum.capacity.plus(worker.entry().capacity());
    }
    for (final TaskRun run : worker.runs()) {
      if (run.isLongRunning()) {
        sum.lasting = sum.lasting.plus(run.reserved());
      } else {
        sum.shortRunning = sum.shortRunning.plus(run.reserved());
      }
    }
  }

  private static void addJob(final Sum sum, final JobRun job, final long now) {
    if (now - job.arrivedAt() < ARRIVAL_NANOS) {
      sum.arrivedWork += job.remainingWork();
    }
    for (final StepRun step : job.steps()) {
      if (!step.isDone()) {
        addStep(sum, step, job.isReady(step));
      }
    }
  }

  private static void addStep(final Sum sum, final StepRun step, final boolean ready) {
    final StepSpec spec = step.spec();
    if (spec.longRunning()) {
      sum.minWorkers = Math.max(sum.minWorkers, workersOf(spec));
    } else {
      sum.work += step.remainingWork();
    }
    for (final Task task : step.tasks()) {
      if (ready && task.isWaiting()) {
        sum.waiting++;
        if (spec.longRunning()) {
          sum.lasting = sum.lasting.plus(spec.reserved());
        } else {
          sum.waitingCpu += spec.reserved().cpuMillis();
        }
      }
    }
  }

  /** Returns the fewest workers that take all tasks of a step. */
  private static int workersOf(final StepSpec spec) {
    return spec.maxPerWorker() <= 0
        ? 1
        : (spec.count() + spec.maxPerWorker() - 1) / spec.maxPerWorker();
  }
}
