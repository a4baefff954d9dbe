package org.lentilsail.policy.job;

import java.util.HashSet;
import java.util.Set;

/**
 * Judges a worker by how its runs end. A worker on which runs of several jobs fail with no success
 * between them gets no work for some time, and then one run at a time until one succeeds. Failures
 * of a single job do not count against the worker, because the job may be at fault.
 */
public final class WorkerHealth {
  /** Jobs that must fail without a success between them, before the worker is at fault. */
  private static final int FAILED_JOBS = 2;

  /** Time in ns without work for a worker at fault; outages of the brief last 4 to 7 s. */
  private static final long REST_NANOS = 3_000_000_000L;

  private final Set<String> failedJobs = new HashSet<>();
  private long restUntil = Long.MIN_VALUE;
  private boolean probation;

  void recordSuccess() {
    failedJobs.clear();
    probation = false;
    restUntil = Long.MIN_VALUE;
  }

  void recordFailure(final String job, final long now) {
    failedJobs.add(job);
    if (probation || failedJobs.size() >= FAILED_JOBS) {
      quarantine(now);
    }
  }

  void quarantine(final long now) {
    restUntil = now + REST_NANOS;
    probation = true;
  }

  boolean isQuarantined(final long now) {
    return now < restUntil;
  }

  boolean onProbation() {
    return probation;
  }

  boolean hasFailures() {
    return !failedJobs.isEmpty();
  }
}
