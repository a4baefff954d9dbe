package org.lentilsail.model.job;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What a worker reports of itself.
 *
 * @param id id of the worker
 * @param service name of its service
 * @param address where it takes orders
 * @param zone availability zone
 * @param draining whether it is about to leave
 * @param capacity resources for tasks
 * @param labels its kind and its rack
 * @param bornMillis wall clock time of its start in ms since the Unix epoch; another value means
 *     that it knows nothing of earlier orders
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

  /** Copies the list, so that the entry cannot change. */
  public WorkerEntry {
    labels = List.copyOf(labels);
  }

  /**
   * Returns the same report with another start.
   *
   * @param millis wall clock time of the start in ms since the Unix epoch
   * @return the changed report
   */
  public WorkerEntry withStartTime(final long millis) {
    return new WorkerEntry(id, service, address, zone, draining, capacity, labels, millis);
  }
}
