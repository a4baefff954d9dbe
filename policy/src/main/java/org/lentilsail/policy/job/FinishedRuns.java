package org.lentilsail.policy.job;

import java.util.Collection;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.lentilsail.model.job.TaskId;

/**
 * Ends of runs that a worker has listed: which were taken in, and of which the effect is kept in
 * the store. Owned by the control thread.
 */
public final class FinishedRuns {
  private final NavigableMap<Long, TaskId> unkept = new TreeMap<>();
  private long lastReceived;
  private long lastPersisted;

  /**
   * Returns the number of the last end that was taken in.
   *
   * @return the number, 0 before the first one
   */
  public long lastReceived() {
    return lastReceived;
  }

  /**
   * Returns the number of the last end whose effect is kept in the store.
   *
   * @return the number, 0 before the first one
   */
  public long lastPersisted() {
    return lastPersisted;
  }

  /**
   * Records that the effect of ends is kept in the store.
   *
   * @param number number of the last of them
   */
  public void markPersisted(final long number) {
    lastPersisted = Math.max(lastPersisted, number);
    unkept.headMap(number, true).clear();
  }

  /**
   * Tells whether the effect of all ends is kept.
   *
   * @return whether nothing is lost when the worker ends
   */
  public boolean areAllPersisted() {
    return lastPersisted >= lastReceived;
  }

  /**
   * Returns the tasks of ends whose effect is not kept.
   *
   * @return names of the tasks
   */
  Collection<TaskId> unpersistedTasks() {
    return List.copyOf(unkept.values());
  }

  void recordReceived(final long number, final TaskId task) {
    lastReceived = number;
    unkept.put(number, task);
  }

  /** Forgets the ends of an earlier life of the worker. */
  void clear() {
    lastReceived = 0;
    lastPersisted = 0;
    unkept.clear();
  }
}
