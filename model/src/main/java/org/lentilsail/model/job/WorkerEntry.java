package org.lentilsail.model.job;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Registry entry of a worker, as reported by the worker.
 *
 * @param id id of the worker
 * @param service name of its service
 * @param address address that accepts commands
 * @param zone availability zone
 * @param draining whether the worker is about to shut down
 * @param capacity resources available to tasks
 * @param labels kind and rack of the worker
 * @param startTimeMillis wall clock time of its start in ms since the Unix epoch; a different value
 *     means that the worker has restarted and has no state of earlier commands
 */
public record WorkerEntry(
    String id,
    String service,
    InetSocketAddress address,
    String zone,
    boolean draining,
    Resources capacity,
    List<String> labels,
    long startTimeMillis) {

  /** Copies the list to make the entry immutable. */
  public WorkerEntry {
    labels = List.copyOf(labels);
  }

  /**
   * Returns a copy with another start time.
   *
   * @param millis wall clock time of the start in ms since the Unix epoch
   * @return the copy
   */
  public WorkerEntry withStartTime(final long millis) {
    return new WorkerEntry(id, service, address, zone, draining, capacity, labels, millis);
  }
}
