package org.lentilsail.policy.job;

import java.util.Collection;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.lentilsail.model.job.TaskId;

/**
 * Finished runs reported by a worker: which were received, and for which the effect has been
 * persisted in the store. Confined to the control thread.
 */
public final class FinishedRuns {
  private final NavigableMap<Long, TaskId> unpersisted = new TreeMap<>();
  private long lastReceived;
  private long lastPersisted;
  private long lastAcknowledged;
  private boolean moreToCome;

  /**
   * Returns the last received finished run.
   *
   * @return sequence number, 0 before the first one
   */
  public long lastReceived() {
    return lastReceived;
  }

  /**
   * Returns the last finished run whose effect is persisted.
   *
   * @return sequence number, 0 before the first one
   */
  public long lastPersisted() {
    return lastPersisted;
  }

  /**
   * Records that the effect of finished runs is persisted.
   *
   * @param sequence sequence number of the last of them
   */
  public void markPersisted(final long sequence) {
    lastPersisted = Math.max(lastPersisted, sequence);
    unpersisted.headMap(sequence, true).clear();
  }

  /**
   * Returns what has to be acknowledged. An acknowledgement that the worker has executed is not
   * repeated: another incarnation of the worker, which numbers its finished runs anew, would
   * discard runs that were never received.
   *
   * @return sequence number of the last finished run to discard, 0 if there is nothing to discard
   */
  public long pendingAcknowledgement() {
    return lastPersisted > lastAcknowledged ? lastPersisted : 0;
  }

  /**
   * Records that the worker has executed an acknowledgement.
   *
   * @param sequence sequence number that it has discarded its finished runs up to
   */
  public void markAcknowledged(final long sequence) {
    lastAcknowledged = Math.max(lastAcknowledged, sequence);
  }

  /**
   * Returns whether the effect of all finished runs is persisted.
   *
   * @return whether no outcome is lost if the worker ends
   */
  public boolean areAllPersisted() {
    return lastPersisted >= lastReceived && !moreToCome;
  }

  /**
   * Returns the tasks of finished runs whose effect is not persisted.
   *
   * @return ids of the tasks
   */
  public Collection<TaskId> unpersistedTasks() {
    return List.copyOf(unpersisted.values());
  }

  void recordReceived(final long sequence, final TaskId task) {
    lastReceived = sequence;
    unpersisted.put(sequence, task);
  }

  /**
   * Records whether the worker has finished runs that its last report lacks.
   *
   * @param value whether it may have
   */
  void moreToCome(final boolean value) {
    moreToCome = value;
  }

  /** Clears the finished runs of an earlier incarnation of the worker. */
  void clear() {
    lastReceived = 0;
    lastPersisted = 0;
    lastAcknowledged = 0;
    moreToCome = false;
    unpersisted.clear();
  }
}
