package org.lentilsail.model.fleet;

import java.util.Map;
import java.util.Set;

/**
 * Report that an entry daemon sends to the leader once a second, and immediately when a drain
 * progresses.
 *
 * @param daemon id of the daemon
 * @param availabilityZone availability zone of the daemon
 * @param fleetRevision revision of the fleet document that the daemon applies
 * @param loads load of the services that the daemon dispatches, by service
 * @param inFlight requests in flight from this daemon on VMs that are not in service, by VM; a VM
 *     without an entry has none
 * @param responses complete responses since the VM began to verify, by VM in that phase
 * @param unhealthyVms VMs that this daemon, as dispatcher, has withdrawn for failures
 */
public record DaemonReport(
    String daemon,
    String availabilityZone,
    long fleetRevision,
    Map<String, ServiceLoad> loads,
    Map<String, Integer> inFlight,
    Map<String, Integer> responses,
    Set<String> unhealthyVms) {

  /** Copies the collections to make the report immutable. */
  public DaemonReport {
    loads = Map.copyOf(loads);
    inFlight = Map.copyOf(inFlight);
    responses = Map.copyOf(responses);
    unhealthyVms = Set.copyOf(unhealthyVms);
  }
}
