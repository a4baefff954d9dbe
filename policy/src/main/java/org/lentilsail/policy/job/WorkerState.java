package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.TaskId;
import org.lentilsail.model.job.WorkerEntry;

/** State of one incarnation of a worker, with its runs; confined to the control thread. */
public final class WorkerState {
  /** Maximum number of runs, so that a report of them can be read. */
  static final int MAX_RUNS = 5_000;

  private final List<TaskRun> runs = new ArrayList<>();
  private final WorkerClock clock = new WorkerClock();
  private final WorkerHealth health = new WorkerHealth();
  private final FinishedRuns finishedRuns = new FinishedRuns();
  private final WorkerContact contact = new WorkerContact();
  private final long firstSeenAt;
  private WorkerEntry entry;
  private boolean registered = true;
  private boolean described = true;
  private boolean synced;
  private boolean cordoned;
  private boolean maintenancePending;
  private long leaseExpiry;
  private long suspendedUntil = Long.MIN_VALUE;
  private Resources reserved = Resources.NONE;

  /**
   * Monotonic time in ns of the last start. The initial value lies before any monotonic time and
   * does not overflow in differences.
   */
  private long lastStartAt = Long.MIN_VALUE / 2;

  /**
   * Creates the state of a worker that has not been polled yet.
   *
   * @param entry registry entry of the worker
   * @param firstSeenAt monotonic time in ns at which the worker became known
   */
  public WorkerState(final WorkerEntry entry, final long firstSeenAt) {
    this.entry = entry;
    this.firstSeenAt = firstSeenAt;
  }

  /**
   * Returns when the worker became known.
   *
   * @return monotonic time in ns
   */
  public long firstSeenAt() {
    return firstSeenAt;
  }

  /**
   * Returns the id.
   *
   * @return id of the worker
   */
  public String id() {
    return entry.id();
  }

  /**
   * Returns the registry entry.
   *
   * @return the latest registry entry of the worker
   */
  public WorkerEntry entry() {
    return entry;
  }

  /**
   * Replaces the registry entry.
   *
   * @param newEntry the new registry entry of the worker
   */
  public void entry(final WorkerEntry newEntry) {
    entry = newEntry;
    registered = true;
    described = true;
  }

  /**
   * Records that a report has shown a later incarnation than the registry. That one may have other
   * labels and another capacity, so it gets no tasks until its own registry entry is known.
   *
   * @param startTimeMillis start of the incarnation in ms since the Unix epoch
   */
  public void restartedBeforeEntry(final long startTimeMillis) {
    entry = entry.withStartTime(startTimeMillis);
    described = false;
  }

  /**
   * Returns the runs.
   *
   * @return all runs that may occupy the worker
   */
  public Collection<TaskRun> runs() {
    return runs;
  }

  /**
   * Returns the clock of the worker.
   *
   * @return estimate of the worker's clock
   */
  public WorkerClock clock() {
    return clock;
  }

  /**
   * Returns whether the worker is registered.
   *
   * @return false after its registry entry was removed
   */
  public boolean isRegistered() {
    return registered;
  }

  /** Records that the registry entry was removed. */
  public void markUnregistered() {
    registered = false;
  }

  /**
   * Returns whether the current leader knows the runs of the worker.
   *
   * @return whether commands may be sent
   */
  public boolean isSynced() {
    return synced;
  }

  /**
   * Returns whether the worker responds.
   *
   * @return false from the first call without a response until the next response
   */
  public boolean isResponding() {
    return contact.isResponding();
  }

  /**
   * Returns whether calls reach the worker.
   *
   * @return the record of its responses
   */
  public WorkerContact contact() {
    return contact;
  }

  /**
   * Returns whether the worker is being evacuated.
   *
   * @return whether it gets no new tasks
   */
  public boolean isCordoned() {
    return cordoned;
  }

  /**
   * Starts or ends the evacuation of the worker.
   *
   * @param value whether it gets no new tasks
   */
  public void cordoned(final boolean value) {
    cordoned = value;
  }

  /**
   * Returns whether the machine of the worker still has to be maintained in a wave.
   *
   * @return whether long-running tasks should preferably go to other workers
   */
  public boolean isMaintenancePending() {
    return maintenancePending;
  }

  /**
   * Records whether the machine of the worker still has to be maintained in a wave.
   *
   * @param value whether it does
   */
  public void maintenancePending(final boolean value) {
    maintenancePending = value;
  }

  /**
   * Returns the expiry of the lease of all runs.
   *
   * @return latest expiry that this or an earlier leader may have granted, in ms on the clock of
   *     the worker
   */
  public long leaseExpiry() {
    return leaseExpiry;
  }

  /**
   * Records a lease expiry that may have been granted; a lease is never shortened.
   *
   * @param workerMillis expiry in ms on the clock of the worker
   */
  public void leaseExpiry(final long workerMillis) {
    leaseExpiry = Math.max(leaseExpiry, workerMillis);
  }

  /**
   * Returns the finished runs that the worker has reported.
   *
   * @return state of the received and persisted finished runs
   */
  public FinishedRuns finishedRuns() {
    return finishedRuns;
  }

  /**
   * Returns the tasks that another leader must not start before it has polled the worker.
   *
   * @return tasks with a run on the worker or with a finished run whose effect is not persisted
   */
  public Set<TaskId> unresolvedTasks() {
    final Set<TaskId> tasks = new LinkedHashSet<>(finishedRuns.unpersistedTasks());
    runs.forEach(run -> tasks.add(run.task().id()));
    return tasks;
  }

  /**
   * Returns whether the worker can be terminated without losing work. If the leader changes, a
   * finished run that is not persisted is lost with its worker, and its task would run again.
   *
   * @return whether the worker has no runs and all its finished runs are persisted
   */
  public boolean isSafeToTerminate() {
    return runs.isEmpty() && finishedRuns.areAllPersisted();
  }

  /**
   * Suspends the worker after it rejected a start command for lack of free capacity.
   *
   * @param until monotonic time in ns until which it gets no new tasks
   */
  public void suspendUntil(final long until) {
    suspendedUntil = until;
  }

  /**
   * Returns the free resources.
   *
   * @return capacity minus the reservations of all runs
   */
  public Resources free() {
    return entry.capacity().minus(reserved);
  }

  /**
   * Returns whether the worker can run new tasks, whatever its health.
   *
   * @param now monotonic time in ns
   * @return whether it is registered with its present incarnation, synced and responding, and not
   *     cordoned, draining or suspended
   */
  public boolean isAvailable(final long now) {
    return registered
        && described
        && runs.size() < MAX_RUNS
        && synced
        && contact.isResponding()
        && !cordoned
        && !entry.draining()
        && now >= suspendedUntil;
  }

  /**
   * Returns whether the worker may get new tasks.
   *
   * @param now monotonic time in ns
   * @return whether it is available and not in quarantine, and has no batch run on probation
   */
  public boolean isSchedulable(final long now) {
    return isAvailable(now)
        && !health.isQuarantined(now)
        && (!health.onProbation() || !hasBatchRun());
  }

  /**
   * Returns whether the worker has a batch run. Its outcome shows whether a worker on probation is
   * healthy.
   */
  private boolean hasBatchRun() {
    for (final TaskRun run : runs) {
      if (!run.isLongRunning()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether the worker has a label.
   *
   * @param label the label
   * @return whether the label is among the labels of the worker
   */
  public boolean hasLabel(final String label) {
    return entry.labels().contains(label);
  }

  /** Returns the monotonic time in ns of the last start, also one that was adopted. */
  long lastStartAt() {
    return lastStartAt;
  }

  WorkerHealth health() {
    return health;
  }

  void markSynced() {
    synced = true;
  }

  void add(final TaskRun run) {
    runs.add(run);
    lastStartAt = run.createdAt();
    reserved = reserved.plus(run.reserved());
  }

  void remove(final TaskRun run) {
    if (runs.remove(run)) {
      reserved = reserved.minus(run.reserved());
    }
  }

  /** Resets the state that depends on the incarnation after a restart of the worker. */
  void reset() {
    clock.reset();
    leaseExpiry = 0;
    finishedRuns.clear();
    synced = false;
  }
}
