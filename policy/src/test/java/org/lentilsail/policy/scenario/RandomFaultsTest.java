package org.lentilsail.policy.scenario;

import static org.junit.jupiter.api.Assertions.fail;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against combinations of faults that no scenario covers: under random faults no planned
 * drain exceeds a budget, and no reboot interrupts running work. The simulation checks both at each
 * step. A VM cannot be in two pools, because the document has one entry for each VM.
 */
class RandomFaultsTest {
  private static final int STEPS = 4_000;
  private static final List<String> SETUP =
      List.of(
          "pool a minimum 2",
          "pool b minimum 2",
          "pool s spare",
          "service x on a",
          "service y on b",
          "budget x 2",
          "budget y 1",
          "daemon e1 in z1",
          "daemon e2 in z2",
          "vms a1,a2,a3 in a zone z1 rack r1",
          "vms a4,a5,a6 in a zone z2 rack r2",
          "vms b1,b2 in b zone z1 rack r1",
          "vms b3,b4 in b zone z2 rack r2",
          "vms s1,s2 in s zone z1 rack r3",
          "actions are duplicated",
          "lag 2s",
          "wave w pools a,b parallel 4 halt 3 automatic return 20");
  private static final List<String> FAULTS =
      List.of(
          "vm V stops",
          "vm V answers",
          "vm V answers",
          "vm V gone",
          "vm V live",
          "vm V live",
          "vm V leaving",
          "vm V works for 4s",
          "vm V works for 9s",
          "vm V works for 15s",
          "hold V",
          "hold V force",
          "release V",
          "release V",
          "daemon e2 silent",
          "daemon e2 heard",
          "zone z1 silent",
          "zone z1 heard",
          "demand x N",
          "demand y N",
          "holder crashes",
          "holder crashes after the write",
          "lag 1s",
          "lag 3s",
          "wave w pools a,b parallel 4 halt 3 automatic return 20 run N");

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void noFaultBreaksTheGuarantees(final long seed) {
    final Random random = new Random(seed);
    final FleetSimulation simulation = new FleetSimulation();
    final ScenarioEvents events = new ScenarioEvents(simulation);
    SETUP.forEach(text -> events.apply(new ScenarioLine("setup", 0, text)));
    simulation.putAllInService();
    final List<String> names = List.copyOf(simulation.vms.keySet());
    for (int step = 0; step < STEPS; step++) {
      String fault = "none";
      try {
        if (random.nextInt(6) == 0) {
          fault =
              FAULTS
                  .get(random.nextInt(FAULTS.size()))
                  .replace("V", names.get(random.nextInt(names.size())))
                  .replace("N", String.valueOf(random.nextInt(60)));
          final boolean work = fault.contains("works");
          final FakeVm vm = simulation.vms.get(fault.split(" ")[1]);
          // A draining VM rejects work, and a VM that is out of service gets none.
          if (!work
              || !vm.draining && vm.up(simulation.now()) && receivesWork(simulation, vm.name)) {
            events.apply(new ScenarioLine("seed " + seed, step, fault));
          }
        }
        simulation.tick();
      } catch (final AssertionError e) {
        fail("seed " + seed + ", step " + step + ", last fault '" + fault + "': " + e, e);
      }
    }
    if (simulation.vms.values().stream().mapToInt(vm -> vm.reboots).sum() == 0) {
      fail("seed " + seed + ": no VM was rebooted, so nothing was tested");
    }
  }

  private static boolean receivesWork(final FleetSimulation simulation, final String vm) {
    return simulation.document.vms().get(vm) != null
        && simulation.document.vms().get(vm).phase()
            == org.lentilsail.model.fleet.VmPhase.IN_SERVICE;
  }
}
