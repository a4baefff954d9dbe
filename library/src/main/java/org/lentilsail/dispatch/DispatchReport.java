package org.lentilsail.dispatch;

import java.util.Map;
import java.util.Set;
import org.lentilsail.model.fleet.ServiceLoad;

/**
 * The part of the report to the leader that the local dispatchers contribute.
 *
 * @param loads demand of the services that this daemon dispatches, by service
 * @param unhealthyVms VMs that the local dispatchers consider unhealthy because of failures
 */
public record DispatchReport(Map<String, ServiceLoad> loads, Set<String> unhealthyVms) {
  /** Copies the collections, so that the report is immutable. */
  public DispatchReport {
    loads = Map.copyOf(loads);
    unhealthyVms = Set.copyOf(unhealthyVms);
  }
}
