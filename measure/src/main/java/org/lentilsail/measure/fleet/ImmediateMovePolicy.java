package org.lentilsail.measure.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lentilsail.model.fleet.DrainPurpose;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;
import org.lentilsail.model.record.ServiceSpec;
import org.lentilsail.policy.capacity.MovePolicy;
import org.lentilsail.policy.fleet.FleetView;
import org.lentilsail.policy.fleet.ReceivedReport;

/** Baseline policy that moves VMs to match reported demand in every round, without hysteresis. */
final class ImmediateMovePolicy implements MovePolicy {
  /** Whether VMs in excess of the demand return to the spare pool immediately. */
  private final boolean returnsToSpare;

  ImmediateMovePolicy(final boolean returnsToSpare) {
    this.returnsToSpare = returnsToSpare;
  }

  @Override
  public void apply(final FleetView view, final List<ReceivedReport> reports) {
    final Map<String, Integer> excess = excess(view, reports);
    for (final VmEntry vm : List.copyOf(view.vms().values())) {
      final int poolExcess = excess.getOrDefault(vm.pool(), 0);
      final String receiver =
          excess.entrySet().stream()
              .filter(pool -> pool.getValue() < 0)
              .min(Map.Entry.comparingByValue())
              .map(Map.Entry::getKey)
              .orElse(returnsToSpare ? "spare" : vm.pool());
      if (poolExcess > 0
          && !vm.pool().equals(receiver)
          && view.tryDrain(vm.vm(), DrainPurpose.MOVE, receiver, "")) {
        excess.merge(vm.pool(), -1, Integer::sum);
        excess.merge(receiver, 1, Integer::sum);
      }
    }
  }

  /** Returns the VMs in excess of the need by pool; a shortage is negative. */
  private static Map<String, Integer> excess(
      final FleetView view, final List<ReceivedReport> reports) {
    final Map<String, Integer> result = new TreeMap<>();
    final Map<String, Integer> slots = new HashMap<>();
    for (final ReceivedReport received : reports) {
      received
          .report()
          .loads()
          .forEach((name, load) -> slots.merge(name, load.busySlots(), Integer::sum));
    }
    for (final ServiceSpec service : view.records().services().values()) {
      final int used = slots.getOrDefault(service.name(), 0);
      final int need = (used + DemandCurve.SLOTS_PER_VM - 1) / DemandCurve.SLOTS_PER_VM;
      final int minimumVms = view.records().pools().get(service.pool()).minimumVms();
      result.put(service.pool(), -Math.max(need, minimumVms));
    }
    for (final VmEntry vm : view.vms().values()) {
      if (vm.phase() != VmPhase.LOST) {
        result.merge(vm.targetPool().isEmpty() ? vm.pool() : vm.targetPool(), 1, Integer::sum);
      }
    }
    return result;
  }
}
