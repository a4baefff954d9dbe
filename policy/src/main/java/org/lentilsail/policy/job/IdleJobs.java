package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds the jobs without a run and what keeps the workers from them. */
public final class IdleJobs {
  /** Time in ns without a run from which a job is reported. */
  private static final long MIN_IDLE_NANOS = 1_000_000_000L;

  /** Maximum number of reported jobs that a quota holds back, and of others. */
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
   * Finds the jobs that have been without a run for the longest time. Those that a quota holds back
   * are found apart, so that they do not hide a job that lacks a worker.
   *
   * @param now monotonic time in ns
   * @return at most three jobs that no quota holds back, the one that has waited longest first, and
   *     then at most three others in the same order
   */
  public List<IdleJob> find(final long now) {
    final List<IdleJob> found = new ArrayList<>(longest(now, false));
    found.addAll(longest(now, true));
    return found;
  }

  /**
   * Counts the jobs that a quota holds back, also those with runs.
   *
   * @return number of jobs with a ready step that is held back, by organisation
   */
  public Map<String, Integer> heldByOrganisation() {
    final Map<String, Integer> held = new HashMap<>();
    for (final JobRun job : jobs.active()) {
      if (job.steps().stream().anyMatch(step -> isHeld(job, step))) {
        held.merge(job.account().name(), 1, Integer::sum);
      }
    }
    return held;
  }

  private static boolean isHeld(final JobRun job, final StepRun step) {
    return isReady(job, step) && step.hasWaitingTasks() && step.quotaHold() != QuotaHold.NONE;
  }

  private List<IdleJob> longest(final long now, final boolean held) {
    return jobs.active().stream()
        .filter(job -> !job.activity().hasRuns() && hasReadyStep(job))
        .filter(job -> now - job.activity().idleSince() >= MIN_IDLE_NANOS)
        .filter(job -> held == (quotaHold(job) != QuotaHold.NONE))
        .sorted(Comparator.comparingLong(job -> job.activity().idleSince()))
        .limit(MAX_JOBS)
        .map(job -> describe(job, now))
        .toList();
  }

  /** Returns why a quota holds back all ready steps of a job, {@code NONE} if not all are. */
  private static QuotaHold quotaHold(final JobRun job) {
    QuotaHold hold = QuotaHold.NONE;
    for (final StepRun step : job.steps()) {
      if (isReady(job, step)) {
        final QuotaHold ofStep = step.quotaHold();
        if (ofStep == QuotaHold.NONE) {
          return QuotaHold.NONE;
        }
        hold = ofStep.compareTo(hold) > 0 ? ofStep : hold;
      }
    }
    return hold;
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
    return new IdleJob(
        job.id(), service, now - job.activity().idleSince(), quotaHold(job), workers);
  }
}
