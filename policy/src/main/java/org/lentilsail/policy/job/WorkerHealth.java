package org.lentilsail.policy.job;

import java.util.HashSet;
import java.util.Set;

/**
 * Health of a worker, derived from the outcomes of its runs. A worker on which runs of several jobs
 * fail without a success in between is quarantined for some time, and then gets one batch run at a
 * time until one succeeds. Failures of a single job do not count, because the job may be the cause.
 */
public final class WorkerHealth {
  /**
   * Number of jobs that must fail without a success in between before the worker is considered
   * faulty.
   */
  private static final int FAILED_JOBS_LIMIT = 2;

  /**
   * Duration of the quarantine in ns. All workers of a pool may be in quarantine because of jobs
   * that can never be done, and callers expect a job to have a run within 3 s.
   */
  private static final long QUARANTINE_NANOS = 2_500_000_000L;

  private final Set<String> failedJobs = new HashSet<>();
  private long quarantinedUntil = Long.MIN_VALUE;
  private boolean probation;

  void recordSuccess() {
    failedJobs.clear();
    probation = false;
    quarantinedUntil = Long.MIN_VALUE;
  }

  void recordFailure(final String job, final long now) {
    failedJobs.add(job);
    if (probation || failedJobs.size() >= FAILED_JOBS_LIMIT) {
      quarantine(now);
    }
  }

  void quarantine(final long now) {
    quarantinedUntil = now + QUARANTINE_NANOS;
    probation = true;
  }

  boolean isQuarantined(final long now) {
    return now < quarantinedUntil;
  }

  boolean onProbation() {
    return probation;
  }

  boolean hasFailures() {
    return !failedJobs.isEmpty();
  }
}
