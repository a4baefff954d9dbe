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
public final class WorkerEnds {
  private final NavigableMap<Long, TaskId> unkept = new TreeMap<>();
  private long seen;
  private long kept;

  /**
   * Returns the number of the last end that was taken in.
   *
   * @return the number, 0 before the first one
   */
  public long seen() {
    return seen;
  }

  /**
   * Returns the number of the last end whose effect is kept in the store.
   *
   * @return the number, 0 before the first one
   */
  public long kept() {
    return kept;
  }

  /**
   * Records that the effect of ends is kept in the store.
   *
   * @param number number of the last of them
   */
  public void keep(final long number) {
    kept = Math.max(kept, number);
    unkept.headMap(number, true).clear();
  }

  /**
   * Tells whether the effect of all ends is kept.
   *
   * @return whether nothing is lost when the worker ends
   */
  public boolean areKept() {
    return kept >= seen;
  }

  /**
   * Returns the tasks of ends whose effect is not kept.
   *
   * @return names of the tasks
   */
  Collection<TaskId> unkeptTasks() {
    return List.copyOf(unkept.values());
  }

  void took(final long number, final TaskId task) {
    seen = number;
    unkept.put(number, task);
  }

  /** Forgets the ends of an earlier life of the worker. */
  void clear() {
    seen = 0;
    kept = 0;
    unkept.clear();
  }
}
