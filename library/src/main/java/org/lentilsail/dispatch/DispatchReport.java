package org.lentilsail.dispatch;

import java.util.Map;
import java.util.Set;
import org.lentilsail.model.fleet.ServiceLoad;

/**
 * The dispatchers' part of the report to the control holder.
 *
 * @param loads demand of the services that this daemon dispatches, by service
 * @param unhealthyVms VMs that this daemon, as dispatcher, has withdrawn for failures
 */
public record DispatchReport(Map<String, ServiceLoad> loads, Set<String> unhealthyVms) {
  /** Copies the collections, so that the report cannot change. */
  public DispatchReport {
    loads = Map.copyOf(loads);
    unhealthyVms = Set.copyOf(unhealthyVms);
  }
}
