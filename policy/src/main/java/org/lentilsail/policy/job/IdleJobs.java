package org.lentilsail.policy.job;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Finds the jobs without a run and what keeps the workers from them. */
public final class IdleJobs {
  /** Time in ns without a run from which a job is reported. */
  private static final long MIN_IDLE_NANOS = 1_000_000_000L;

  /** Maximum number of reported jobs. */
  private static final int MAX_JOBS = 3;

  private final JobRegistry jobs;
  private final Fleet fleet;

  /**
   * Creates a finder.
   *
   * @param jobs all jobs
   * @param fleet all workers
   */
  public IdleJobs(final JobRegistry jobs, final Fleet fleet) {
    this.jobs = jobs;
    this.fleet = fleet;
  }

  /**
   * Finds the jobs that have been without a run for the longest time.
   *
   * @param now monotonic time in ns
   * @return at most three jobs, the one that has waited longest first
   */
  public List<IdleJob> find(final long now) {
    return jobs.active().stream()
        .filter(job -> !job.activity().hasRuns() && hasReadyStep(job))
        .filter(job -> now - job.activity().idleSince() >= MIN_IDLE_NANOS)
        .sorted(Comparator.comparingLong(job -> job.activity().idleSince()))
        .limit(MAX_JOBS)
        .map(job -> describe(job, now))
        .toList();
  }

  private static boolean hasReadyStep(final JobRun job) {
    return job.steps().stream().anyMatch(step -> isReady(job, step));
  }

  private static boolean isReady(final JobRun job, final StepRun step) {
    return !step.isDone() && job.isReady(step);
  }

  private IdleJob describe(final JobRun job, final long now) {
    final String service = jobs.serviceOf(job);
    final StepRun step =
        job.steps().stream().filter(candidate -> isReady(job, candidate)).findFirst().orElseThrow();
    final Map<WorkerObstacle, Integer> workers = new EnumMap<>(WorkerObstacle.class);
    for (final WorkerState worker : fleet.ofService(service)) {
      workers.merge(WorkerObstacle.of(worker, step, now), 1, Integer::sum);
    }
    return new IdleJob(job.id(), service, now - job.activity().idleSince(), workers);
  }
}
