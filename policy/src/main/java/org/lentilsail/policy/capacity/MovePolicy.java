package org.lentilsail.policy.capacity;

import java.util.List;
import org.lentilsail.policy.fleet.FleetView;
import org.lentilsail.policy.fleet.ReceivedReport;

/** Decides in each control round which VMs start to move to another pool. */
@FunctionalInterface
public interface MovePolicy {
  /**
   * Starts the moves that are due.
   *
   * @param view the fleet in this round, with initialised availability budgets
   * @param reports the daemons' last reports
   */
  void apply(FleetView view, List<ReceivedReport> reports);
}
