package org.lentilsail.policy.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All workers known to the leader; confined to the control thread. */
public final class Fleet {
  private final Map<String, WorkerState> workers = new LinkedHashMap<>();

  /**
   * Adds a worker.
   *
   * @param worker the worker
   */
  public void add(final WorkerState worker) {
    workers.put(worker.id(), worker);
  }

  /**
   * Removes a worker.
   *
   * @param id id of the worker
   */
  public void remove(final String id) {
    workers.remove(id);
  }

  /**
   * Finds a worker.
   *
   * @param id id of the worker
   * @return the worker, null if it is not known
   */
  public WorkerState worker(final String id) {
    return workers.get(id);
  }

  /**
   * Returns all workers.
   *
   * @return the workers in the order in which they were added
   */
  public Collection<WorkerState> workers() {
    return workers.values();
  }

  /**
   * Returns the workers of a service.
   *
   * @param service name of the service
   * @return its workers in any state
   */
  public List<WorkerState> ofService(final String service) {
    final List<WorkerState> found = new ArrayList<>();
    for (final WorkerState worker : workers.values()) {
      if (worker.entry().service().equals(service)) {
        found.add(worker);
      }
    }
    return found;
  }
}
