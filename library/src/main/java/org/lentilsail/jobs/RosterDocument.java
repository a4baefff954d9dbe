package org.lentilsail.jobs;

import java.net.InetSocketAddress;
import java.util.List;
import org.lentilsail.model.job.Resources;
import org.lentilsail.model.job.WorkerEntry;

/**
 * Workers that may have been assigned tasks. A new leader polls each of them before it reruns
 * tasks.
 *
 * @param workers the workers
 */
record RosterDocument(List<Row> workers) {

  RosterDocument {
    workers = List.copyOf(workers);
  }

  /**
   * A worker, with the data needed to poll it.
   *
   * @param id id
   * @param service name of the service
   * @param host host of the address
   * @param port port of the address
   * @param zone availability zone
   * @param capacity resources for tasks
   * @param labels its kind and its rack
   * @param bornMillis start time of its incarnation in ms since the Unix epoch
   * @param machine id of its machine, empty if it is not known
   */
  record Row(
      String id,
      String service,
      String host,
      int port,
      String zone,
      Resources capacity,
      List<String> labels,
      long bornMillis,
      String machine) {

    /** Replaces a missing machine, as earlier versions write it. */
    Row {
      machine = machine == null ? "" : machine;
    }

    static Row of(final WorkerEntry entry, final String machine) {
      return new Row(
          entry.id(),
          entry.service(),
          entry.address().getHostString(),
          entry.address().getPort(),
          entry.zone(),
          entry.capacity(),
          entry.labels(),
          entry.startTimeMillis(),
          machine);
    }

    WorkerEntry entry() {
      return new WorkerEntry(
          id,
          service,
          InetSocketAddress.createUnresolved(host, port),
          zone,
          false,
          capacity,
          labels,
          bornMillis);
    }
  }
}
