package org.lentilsail.control;

import java.util.List;
import org.lentilsail.platform.VmReport;
import org.lentilsail.policy.fleet.VmObservation;
import org.lentilsail.policy.fleet.VmState;

/** Converts the platform's list of VMs to the input of a control round. */
final class VmObservations {
  private VmObservations() {}

  /**
   * Returns the VMs that run backend servers.
   *
   * @param list the platform's list
   * @return the VMs
   */
  static List<VmObservation> workers(final List<VmReport> list) {
    return list.stream().filter(vm -> vm.role().equals("worker")).map(VmObservations::of).toList();
  }

  private static VmObservation of(final VmReport vm) {
    final VmState state =
        switch (vm.state()) {
          case "gone" -> VmState.GONE;
          case "leaving" -> VmState.LEAVING;
          default -> VmState.LIVE;
        };
    return new VmObservation(
        vm.vm(),
        vm.address(),
        vm.availabilityZone(),
        vm.rack(),
        vm.pool(),
        state,
        vm.draining(),
        vm.running(),
        vm.bootGeneration());
  }
}
