package org.lentilsail.policy.job;

import java.util.HashMap;
import java.util.Map;

/**
 * Holds back the work that an earlier holder may have left running on workers that do not answer.
 * Starts are not stored, so after a change of the holder a task that no worker lists may still run
 * on a worker that cannot be asked, until the lease of that worker has expired. Jobs accepted since
 * the change are not affected. Owned by the control thread.
 */
public final class RecoveryGate {
  private final Map<String, Pending> pending = new HashMap<>();
  private long openedAt = Long.MIN_VALUE;

  /**
   * A worker that has not been asked yet.
   *
   * @param service name of the service
   * @param expiresAt monotonic time in ns at which its lease has surely expired
   */
  private record Pending(String service, long expiresAt) {}

  /**
   * Closes the gate.
   *
   * @param workers service of each worker that may have been given work, by id of the worker
   * @param now monotonic time in ns
   * @param leaseNanos time in ns after which the lease of a worker has surely expired
   */
  public void close(final Map<String, String> workers, final long now, final long leaseNanos) {
    pending.clear();
    workers.forEach((id, service) -> pending.put(id, new Pending(service, now + leaseNanos)));
    openedAt = now;
  }

  /**
   * Records that the runs of a worker are known or have surely ended.
   *
   * @param worker id of the worker
   */
  public void resolved(final String worker) {
    pending.remove(worker);
  }

  /**
   * Removes the workers whose lease has expired.
   *
   * @param now monotonic time in ns
   */
  public void expire(final long now) {
    pending.values().removeIf(worker -> now >= worker.expiresAt());
  }

  /**
   * Tells whether tasks of a job may be running without our knowledge.
   *
   * @param job the job
   * @param service service that runs it
   * @return whether its tasks must not be started yet
   */
  public boolean blocks(final JobRun job, final String service) {
    return !pending.isEmpty()
        && job.arrivedAt() <= openedAt
        && pending.values().stream().anyMatch(worker -> worker.service().equals(service));
  }

  /**
   * Tells whether a worker has not been asked yet.
   *
   * @param worker id of the worker
   * @return whether runs of an earlier holder may be left there
   */
  public boolean isPending(final String worker) {
    return pending.containsKey(worker);
  }

  /**
   * Counts the workers that have not been asked.
   *
   * @return number of workers
   */
  public int size() {
    return pending.size();
  }
}
