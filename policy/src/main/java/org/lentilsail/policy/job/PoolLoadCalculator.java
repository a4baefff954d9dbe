package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.ServiceSpec;
import org.lentilsail.model.job.StepSpec;

/** Computes the load of each pool from the jobs and the workers. */
public final class PoolLoadCalculator {
  /** Length in ns of the interval over which arriving jobs are counted. */
  private static final long ARRIVAL_INTERVAL_NANOS = 800_000_000L;

  private static final double NANOS_PER_MILLI = 1_000_000.0;

  private final JobRegistry jobs;
  private final Fleet fleet;

  /** Accumulates the load of one service. */
  private static final class LoadSum {
    private final QuotaBudget quotas = new QuotaBudget();
    private int workers;
    private Resources capacity = Resources.NONE;
    private Resources longRunning = Resources.NONE;
    private Resources batchRunning = Resources.NONE;
    private double remainingWork;
    private int waitingTasks;
    private long waitingCpu;
    private double arrivedWork;
    private int minWorkers;
  }

  /**
   * Creates a calculator.
   *
   * @param jobs all jobs
   * @param fleet all workers
   */
  public PoolLoadCalculator(final JobRegistry jobs, final Fleet fleet) {
    this.jobs = jobs;
    this.fleet = fleet;
  }

  /**
   * Computes the loads of all pools.
   *
   * @param now monotonic time in ns
   * @return the load of each service except spare pools
   */
  public List<PoolLoad> measure(final long now) {
    final Map<String, LoadSum> sums = new HashMap<>();
    for (final ServiceSpec service : jobs.configuration().services()) {
      if (!service.spare()) {
        sums.put(service.name(), new LoadSum());
      }
    }
    for (final WorkerState worker : fleet.workers()) {
      final LoadSum sum = sums.get(worker.entry().service());
      if (sum != null) {
        addWorker(sum, worker);
      }
    }
    for (final JobRun job : jobs.active()) {
      final LoadSum sum = sums.get(jobs.serviceOf(job));
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
                    sum.longRunning,
                    sum.batchRunning,
                    sum.remainingWork,
                    sum.waitingTasks,
                    sum.waitingCpu,
                    (long) (sum.arrivedWork * NANOS_PER_MILLI / ARRIVAL_INTERVAL_NANOS * 1000),
                    sum.minWorkers)));
    return loads;
  }

  private static void addWorker(final LoadSum sum, final WorkerState worker) {
    if (worker.isRegistered()
        && worker.isResponding()
        && !worker.isCordoned()
        && !worker.entry().draining()) {
      sum.workers++;
      sum.capacity = sum.capacity.plus(worker.entry().capacity());
    }
    for (final TaskRun run : worker.runs()) {
      if (run.isLongRunning()) {
        sum.longRunning = sum.longRunning.plus(run.reserved());
      } else {
        sum.batchRunning = sum.batchRunning.plus(run.reserved());
      }
    }
  }

  private static void addJob(final LoadSum sum, final JobRun job, final long now) {
    boolean held = false;
    for (final StepRun step : job.steps()) {
      if (!step.isDone()) {
        held |= addStep(sum, step, job.isReady(step));
      }
    }
    if (!held && now - job.arrivedAt() < ARRIVAL_INTERVAL_NANOS) {
      sum.arrivedWork += job.remainingWork();
    }
  }

  /** Adds a step and returns whether the quota of its organisation holds back some of its tasks. */
  private static boolean addStep(final LoadSum sum, final StepRun step, final boolean ready) {
    final StepSpec spec = step.spec();
    final int waiting = ready ? step.waitingTaskCount() : 0;
    final int startable = sum.quotas.take(step, waiting);
    if (!spec.longRunning()) {
      sum.remainingWork += step.remainingWork();
    } else if (startable > 0 || waiting < step.remainingTasks()) {
      // Needs no machines only if the quota holds back all of its tasks.
      sum.minWorkers = Math.max(sum.minWorkers, minWorkersFor(spec));
    }
    sum.waitingTasks += startable;
    for (int task = 0; task < startable; task++) {
      if (spec.longRunning()) {
        sum.longRunning = sum.longRunning.plus(spec.reserved());
      } else {
        sum.waitingCpu += spec.reserved().cpuMillis();
      }
    }
    return startable < waiting;
  }

  /** Returns the minimum number of workers that can run all tasks of a step. */
  private static int minWorkersFor(final StepSpec spec) {
    return spec.maxPerWorker() <= 0
        ? 1
        : (spec.count() + spec.maxPerWorker() - 1) / spec.maxPerWorker();
  }
}
