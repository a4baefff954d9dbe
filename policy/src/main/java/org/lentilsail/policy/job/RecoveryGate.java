package org.lentilsail.policy.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lentilsail.model.job.TaskId;

/**
 * Holds back the tasks that an earlier holder may have left running on workers that do not answer.
 * Which tasks a worker may have been given is kept before they start, so after a change of the
 * holder only these wait, until the worker has been asked or its lease has expired. Owned by the
 * control thread.
 */
public final class RecoveryGate {
  private final Map<String, Pending> pending = new HashMap<>();
  private final Set<TaskId> blocked = new HashSet<>();

  /**
   * A worker that has not been asked yet.
   *
   * @param tasks tasks that it may have been given
   * @param expiresAt monotonic time in ns at which its lease has surely expired
   */
  private record Pending(Collection<TaskId> tasks, long expiresAt) {}

  /**
   * Closes the gate.
   *
   * @param workers tasks of each worker that may have been given work, by id of the worker
   * @param now monotonic time in ns
   * @param leaseNanos time in ns after which the lease of a worker has surely expired
   */
  public void close(
      final Map<String, ? extends Collection<TaskId>> workers,
      final long now,
      final long leaseNanos) {
    pending.clear();
    workers.forEach((id, tasks) -> pending.put(id, new Pending(tasks, now + leaseNanos)));
    collect();
  }

  /**
   * Records that the runs of a worker are known or have surely ended.
   *
   * @param worker id of the worker
   */
  public void resolved(final String worker) {
    final Pending known = pending.remove(worker);
    if (known != null && !known.tasks().isEmpty()) {
      collect();
    }
  }

  /**
   * Removes the workers whose lease has expired.
   *
   * @param now monotonic time in ns
   */
  public void expire(final long now) {
    if (pending.values().removeIf(worker -> now >= worker.expiresAt())) {
      collect();
    }
  }

  /**
   * Tells whether a task may be running without our knowledge.
   *
   * @param task name of the task
   * @return whether it must not be started yet
   */
  public boolean blocks(final TaskId task) {
    return blocked.contains(task);
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

  private void collect() {
    blocked.clear();
    pending.values().forEach(worker -> blocked.addAll(worker.tasks()));
  }
}
