package org.lentilsail.policy.control;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lentilsail.model.fleet.DrainPurpose;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;
import org.lentilsail.model.record.HoldSpec;
import org.lentilsail.policy.fleet.FleetView;
import org.lentilsail.policy.fleet.VmChanges;

/**
 * Takes VMs out of service on an operator's request, and returns them to service when the hold
 * ends.
 */
final class HoldRules {
  /** Phases from which a VM whose hold has ended starts to verify. */
  private static final List<VmPhase> RELEASABLE =
      List.of(VmPhase.HELD, VmPhase.DRAINING, VmPhase.STOPPED);

  private final FleetView view;

  /** Holds by VM; of several holds on a VM, one that forces the drain. */
  private final Map<String, HoldSpec> holds = new TreeMap<>();

  /**
   * Creates the rules.
   *
   * @param view the fleet in this round
   */
  HoldRules(final FleetView view) {
    this.view = view;
    for (final HoldSpec hold : view.records().holds().values()) {
      holds.merge(hold.vm(), hold, (first, second) -> first.force() ? first : second);
    }
  }

  /**
   * Applies changes that need no availability budget: VMs that are out of service change their
   * purpose or start to return.
   */
  void applyUnbudgeted() {
    for (final VmEntry vm : List.copyOf(view.vms().values())) {
      final boolean held = holds.containsKey(vm.vm());
      final boolean drainedByOperator = vm.purpose() == DrainPurpose.OPERATOR;
      if (drainedByOperator && !held && RELEASABLE.contains(vm.phase())) {
        view.vms().put(vm.vm(), vm.withPhase(VmPhase.VERIFYING, view.nowMillis()));
      } else if (held
          && (vm.purpose() == DrainPurpose.MAINTENANCE || vm.purpose() == DrainPurpose.MOVE)
          && (vm.phase() == VmPhase.DRAINING || vm.phase() == VmPhase.STOPPED)) {
        view.vms().put(vm.vm(), VmChanges.retarget(vm, DrainPurpose.OPERATOR, "", ""));
      }
    }
  }

  /**
   * Starts to drain VMs with a hold: at once if the hold forces the drain, otherwise when the
   * budgets allow it.
   */
  void startDrains() {
    for (final HoldSpec hold : holds.values()) {
      final VmEntry vm = view.vms().get(hold.vm());
      if (vm == null) {
        continue;
      }
      final boolean inService = vm.phase() == VmPhase.IN_SERVICE;
      if (vm.phase() == VmPhase.VERIFYING || inService && hold.force()) {
        view.forceDrain(vm.vm(), DrainPurpose.OPERATOR, "", "");
      } else if (inService) {
        view.tryDrain(vm.vm(), DrainPurpose.OPERATOR, "", "");
      }
    }
  }
}
