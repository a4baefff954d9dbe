package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.TaskId;

/**
 * Blocks tasks that may still run on a worker from before a change of the leader. The tasks that a
 * worker may have been assigned are persisted before they start, so after a change of the leader
 * only these tasks wait until the worker has been polled or its lease has expired. Confined to the
 * control thread.
 */
public final class RecoveryGate {
  private final Map<String, Pending> pending = new HashMap<>();
  private final Set<TaskId> blocked = new HashSet<>();
  private final Map<String, List<Charge>> charges = new HashMap<>();
  private DropListener drops = DropListener.NONE;
  private long leaseNanos;

  /**
   * A worker that has not been polled yet.
   *
   * @param tasks tasks that it may have been assigned
   * @param expiresAt monotonic time in ns at which its lease has certainly expired
   */
  private record Pending(Collection<TaskId> tasks, long expiresAt) {}

  /**
   * The demand of a task that counts as running for its organisation.
   *
   * @param account account of the organisation
   * @param demand demand of the task
   */
  private record Charge(OrganisationAccount account, Resources demand) {}

  /**
   * Sets who is told of each task that is no longer blocked.
   *
   * @param listener is told of the tasks
   */
  public void reportTo(final DropListener listener) {
    drops = listener;
  }

  /**
   * Blocks the tasks of all given workers.
   *
   * @param workers tasks that each worker may have been assigned, by worker id
   * @param now monotonic time in ns
   * @param leaseNanos time in ns after which the lease of a worker has certainly expired
   */
  public void close(
      final Map<String, ? extends Collection<TaskId>> workers,
      final long now,
      final long leaseNanos) {
    this.leaseNanos = leaseNanos;
    List.copyOf(charges.keySet()).forEach(this::release);
    pending.clear();
    workers.forEach((id, tasks) -> pending.put(id, new Pending(tasks, now + leaseNanos)));
    updateBlocked();
  }

  /**
   * Counts the blocked tasks as running for their organisations until their workers no longer block
   * them. The jobs must have been restored, because they tell the demand.
   *
   * @param jobs all jobs
   */
  public void charge(final JobRegistry jobs) {
    pending.forEach(
        (worker, known) -> {
          release(worker);
          known.tasks().forEach(task -> charge(worker, task, jobs.job(task.job())));
        });
  }

  private void charge(final String worker, final TaskId task, final JobRun job) {
    if (job == null || task.step() < 0 || task.step() >= job.submitted().spec().steps().size()) {
      return;
    }
    final Resources demand = job.submitted().spec().steps().get(task.step()).demand();
    job.account().add(demand);
    charges
        .computeIfAbsent(worker, key -> new ArrayList<>())
        .add(new Charge(job.account(), demand));
  }

  private void release(final String worker) {
    final List<Charge> released = charges.remove(worker);
    if (released != null) {
      released.forEach(charge -> charge.account().subtract(charge.demand()));
    }
  }

  /**
   * Records that the runs of a worker are known or have certainly ended. The worker no longer
   * blocks its tasks.
   *
   * @param worker id of the worker
   * @param evidence what shows it
   * @param now monotonic time in ns
   */
  public void resolved(final String worker, final DropEvidence evidence, final long now) {
    release(worker);
    final Pending known = pending.remove(worker);
    if (known != null && !known.tasks().isEmpty()) {
      updateBlocked();
      notifyReleased(worker, known, evidence, now);
    }
  }

  /**
   * Records that a worker has responded without showing all its runs, which it still holds.
   *
   * @param worker id of the worker
   * @param expiresAt monotonic time in ns at which its lease has certainly expired
   */
  public void prolong(final String worker, final long expiresAt) {
    pending.computeIfPresent(worker, (id, known) -> new Pending(known.tasks(), expiresAt));
  }

  /**
   * Drops the workers whose lease has expired. They no longer block their tasks.
   *
   * @param now monotonic time in ns
   */
  public void expire(final long now) {
    final Map<String, Pending> expired = new HashMap<>(pending);
    expired.values().removeIf(worker -> now < worker.expiresAt());
    if (!expired.isEmpty()) {
      pending.keySet().removeAll(expired.keySet());
      expired.keySet().forEach(this::release);
      updateBlocked();
      expired.forEach((worker, known) -> notifyExpired(worker, known, now));
    }
  }

  private void notifyExpired(final String worker, final Pending known, final long now) {
    final DropEvidence evidence =
        new DropEvidence(
            DropReason.GATE_EXPIRED,
            "lease granted at the latest then",
            known.expiresAt() - leaseNanos);
    notifyReleased(worker, known, evidence, now);
  }

  private void notifyReleased(
      final String worker, final Pending known, final DropEvidence evidence, final long now) {
    known.tasks().stream()
        .filter(task -> !blocked.contains(task))
        .forEach(task -> drops.taskReleased(task, worker, evidence, now));
  }

  /**
   * Returns whether a task may be running on a worker that has not been polled.
   *
   * @param task id of the task
   * @return whether it must not be started yet
   */
  public boolean blocks(final TaskId task) {
    return blocked.contains(task);
  }

  /**
   * Returns whether a worker has not been polled yet.
   *
   * @param worker id of the worker
   * @return whether it may still have runs of an earlier leader
   */
  public boolean isPending(final String worker) {
    return pending.containsKey(worker);
  }

  /**
   * Returns the number of workers that have not been polled yet.
   *
   * @return number of workers
   */
  public int size() {
    return pending.size();
  }

  private void updateBlocked() {
    blocked.clear();
    pending.values().forEach(worker -> blocked.addAll(worker.tasks()));
  }
}
