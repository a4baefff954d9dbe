package org.lentilsail.policy.job;

import java.util.Map;

/**
 * A job without a run although a task is ready.
 *
 * @param job id of the job
 * @param service service whose workers can run it
 * @param idleNanos time in ns for which it has had no run
 * @param quota whether and why the quota of its organisation holds it back
 * @param workers number of workers of the service by the reason why they do not get the task
 */
public record IdleJob(
    String job,
    String service,
    long idleNanos,
    QuotaHold quota,
    Map<WorkerObstacle, Integer> workers) {

  /** Creates an immutable copy of the numbers of workers. */
  public IdleJob {
    workers = Map.copyOf(workers);
  }
}
