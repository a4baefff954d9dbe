package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.TaskId;
import org.lentilsail.model.job.WorkerEntry;

/** One life of a worker with what runs on it; owned by the control thread. */
public final class WorkerState {
  private final List<TaskRun> runs = new ArrayList<>();
  private final WorkerClock clock = new WorkerClock();
  private final WorkerHealth health = new WorkerHealth();
  private final FinishedRuns finishedRuns = new FinishedRuns();
  private final long firstSeenAt;
  private WorkerEntry entry;
  private boolean listed = true;
  private boolean synced;
  private boolean responding;
  private long unresponsiveSince = Long.MAX_VALUE;
  private boolean cordoned;
  private boolean maintenancePending;
  private long leaseExpiry;
  private long noRoomUntil = Long.MIN_VALUE;
  private Resources reserved = Resources.NONE;

  /**
   * Creates the state of a worker of which nothing is known.
   *
   * @param entry what the worker reports of itself
   * @param knownAt monotonic time in ns
   */
  public WorkerState(final WorkerEntry entry, final long knownAt) {
    this.entry = entry;
    this.firstSeenAt = knownAt;
  }

  /**
   * Returns since when the worker has been known.
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
   * Returns the report.
   *
   * @return what the worker last reported of itself
   */
  public WorkerEntry entry() {
    return entry;
  }

  /**
   * Replaces the report.
   *
   * @param present what the worker now reports of itself
   */
  public void entry(final WorkerEntry present) {
    entry = present;
    listed = true;
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
   * Returns the clock.
   *
   * @return estimate of the worker's clock
   */
  public WorkerClock clock() {
    return clock;
  }

  /**
   * Tells whether the worker stands in the registry.
   *
   * @return false from the removal of its entry
   */
  public boolean isRegistered() {
    return listed;
  }

  /** Records that the entry has been removed from the registry. */
  public void markUnregistered() {
    listed = false;
  }

  /**
   * Tells whether the present holder has seen the runs of the worker.
   *
   * @return whether orders may be sent
   */
  public boolean isSynced() {
    return synced;
  }

  /**
   * Tells whether the last look was answered.
   *
   * @return false from the first call without an answer until the next answer
   */
  public boolean isResponding() {
    return responding;
  }

  /**
   * Records whether a call was answered.
   *
   * @param value whether it was
   */
  public void responding(final boolean value) {
    responding = value;
  }

  /**
   * Records that a call was not answered.
   *
   * @param now monotonic time in ns
   */
  public void markUnresponsive(final long now) {
    if (responding || unresponsiveSince == Long.MAX_VALUE) {
      unresponsiveSince = now;
    }
    responding = false;
  }

  /**
   * Returns since when the worker has not answered.
   *
   * @return monotonic time in ns; the largest value before the first call without an answer
   */
  public long unresponsiveSince() {
    return unresponsiveSince;
  }

  /**
   * Tells whether the worker is being emptied.
   *
   * @return whether it gets no new work
   */
  public boolean isCordoned() {
    return cordoned;
  }

  /**
   * Begins or ends the emptying of the worker.
   *
   * @param value whether it gets no new work
   */
  public void cordoned(final boolean value) {
    cordoned = value;
  }

  /**
   * Tells whether the machine of the worker is still to be maintained in a wave.
   *
   * @return whether tasks that last should rather go elsewhere
   */
  public boolean isMaintenancePending() {
    return maintenancePending;
  }

  /**
   * Records whether the machine of the worker is still to be maintained in a wave.
   *
   * @param value whether it is
   */
  public void maintenancePending(final boolean value) {
    maintenancePending = value;
  }

  /**
   * Returns the end of the lease of all runs.
   *
   * @return latest expiry that was sent, in ms on the clock of the worker
   */
  public long leaseExpiry() {
    return leaseExpiry;
  }

  /**
   * Records an expiry that was sent.
   *
   * @param workerMillis expiry in ms on the clock of the worker
   */
  public void leaseExpiry(final long workerMillis) {
    leaseExpiry = Math.max(leaseExpiry, workerMillis);
  }

  /**
   * Returns the ends that the worker has listed.
   *
   * @return which were taken in and which are kept
   */
  public FinishedRuns finishedRuns() {
    return finishedRuns;
  }

  /**
   * Returns the tasks that another holder must not start before it has asked the worker.
   *
   * @return tasks with a run here, or with an end whose effect is not kept
   */
  public Set<TaskId> unresolvedTasks() {
    final Set<TaskId> tasks = new LinkedHashSet<>(finishedRuns.unpersistedTasks());
    runs.forEach(run -> tasks.add(run.task().id()));
    return tasks;
  }

  /**
   * Tells whether ending the worker loses nothing. An end that is not kept is forgotten with its
   * worker when control changes, and its task would run again.
   *
   * @return whether nothing runs on it and all its ends are kept
   */
  public boolean isSafeToTerminate() {
    return runs.isEmpty() && finishedRuns.areAllPersisted();
  }

  /**
   * Records that the worker rejected a start for want of room.
   *
   * @param until monotonic time in ns until which it gets no work
   */
  public void suspendUntil(final long until) {
    noRoomUntil = until;
  }

  /**
   * Returns what is free.
   *
   * @return capacity less what all runs reserve
   */
  public Resources free() {
    return entry.capacity().minus(reserved);
  }

  /**
   * Tells whether the worker may get work.
   *
   * @param now monotonic time in ns
   * @return whether nothing speaks against it
   */
  public boolean isSchedulable(final long now) {
    return listed
        && synced
        && responding
        && !cordoned
        && !entry.draining()
        && now >= noRoomUntil
        && !health.isQuarantined(now)
        && (!health.onProbation() || !hasShortRuns());
  }

  /** Tells whether a run occupies the worker whose end would show whether the worker is sound. */
  private boolean hasShortRuns() {
    for (final TaskRun run : runs) {
      if (!run.isLongRunning()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Tells whether the worker carries a label.
   *
   * @param label the label
   * @return whether it is among the labels of the worker
   */
  public boolean hasLabel(final String label) {
    return entry.labels().contains(label);
  }

  WorkerHealth health() {
    return health;
  }

  void synced() {
    synced = true;
  }

  void add(final TaskRun run) {
    runs.add(run);
    reserved = reserved.plus(run.reserved());
  }

  void remove(final TaskRun run) {
    if (runs.remove(run)) {
      reserved = reserved.minus(run.reserved());
    }
  }

  /** Forgets everything that an earlier life of the worker knew. */
  void reset() {
    clock.reset();
    leaseExpiry = 0;
    finishedRuns.clear();
    synced = false;
  }
}
