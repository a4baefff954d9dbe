package org.lentilsail.measure.fleet;

import java.util.Arrays;
import java.util.Random;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.policy.capacity.MovePolicy;
import org.lentilsail.policy.capacity.PolicyWeights;

/** Simulates one fleet under a demand curve with faults, a wave and budgets. */
final class CapacityRun {
  /** Length of a tick in s. */
  private static final double TICK_SECONDS = FleetModel.TICK_MILLIS / 1_000.0;

  /** Share of the demand that was served in the tick in which it arose. */
  final double servedShare;

  /** Longest time in s during which a service lacked more than one VM. */
  final double longestShortageSeconds;

  /** VM-seconds of the fleet in excess of the VMs that demand needed. */
  final double bufferVmSeconds;

  /** VM-seconds in service in excess of the need of their pools, including the spare pool. */
  final double reserveVmSeconds;

  /** VM-seconds out of service: in a move, in maintenance or failed. */
  final double outOfServiceVmSeconds;

  /** Number of VM moves between pools. */
  final int moves;

  /** Number of violations of an availability budget by planned stops. */
  final int brokenBudgets;

  /** Number of reboots that interrupted running work. */
  final int rebootsDuringWork;

  CapacityRun(
      final Deployment deployment,
      final DemandCurve curve,
      final long seed,
      final MovePolicy policy,
      final PolicyWeights weights) {
    final FleetModel model =
        new FleetModel(deployment.records(true), deployment.vms(new Random(seed)), policy);
    model.weights = weights;
    final int[] shortTicks = new int[deployment.pools().length];
    double demandedSlots = 0;
    double servedSlots = 0;
    long neededVmTicks = 0;
    long reserveVmTicks = 0;
    long servingVmTicks = 0;
    int longestShortTicks = 0;
    for (int tick = 0; tick < curve.ticks(); tick++) {
      curve.apply(model, tick);
      model.tick();
      final int[] demand = curve.demandAt(tick);
      final int[] servingVms = servingVms(model, demand.length);
      for (int s = 0; s < demand.length; s++) {
        final int slots = servingVms[s] * DemandCurve.SLOTS_PER_VM;
        demandedSlots += demand[s];
        servedSlots += Math.min(demand[s], slots);
        reserveVmTicks += Math.max(0, (slots - demand[s]) / DemandCurve.SLOTS_PER_VM);
        shortTicks[s] = demand[s] - slots > DemandCurve.SLOTS_PER_VM ? shortTicks[s] + 1 : 0;
        longestShortTicks = Math.max(longestShortTicks, shortTicks[s]);
      }
      reserveVmTicks += servingVms[demand.length];
      servingVmTicks += Arrays.stream(servingVms).sum();
      neededVmTicks += DemandCurve.vmsFor(demand);
    }
    final double fleetVmTicks = (double) deployment.size() * curve.ticks();
    servedShare = servedSlots / demandedSlots;
    longestShortageSeconds = longestShortTicks * TICK_SECONDS;
    bufferVmSeconds = (fleetVmTicks - neededVmTicks) * TICK_SECONDS;
    reserveVmSeconds = reserveVmTicks * TICK_SECONDS;
    outOfServiceVmSeconds = (fleetVmTicks - servingVmTicks) * TICK_SECONDS;
    moves = model.moves;
    brokenBudgets = model.brokenBudgets;
    rebootsDuringWork = model.rebootsDuringWork();
  }

  /** Returns the number of serving VMs by service, with the spare pool as the last element. */
  private static int[] servingVms(final FleetModel model, final int services) {
    final int[] result = new int[services + 1];
    for (final VmEntry vm : model.document.vms().values()) {
      if (model.serves(vm)) {
        result[vm.pool().startsWith("p") ? Integer.parseInt(vm.pool().substring(1)) : services]++;
      }
    }
    return result;
  }

  void add(final Samples samples, final String name, final int vms) {
    samples.add(name + ": VMs", vms);
    samples.add(name + ": demand served", servedShare);
    samples.add(name + ": longest shortage s", longestShortageSeconds);
    samples.add(name + ": buffer VM-s", bufferVmSeconds);
    samples.add(name + ": of that in reserve VM-s", reserveVmSeconds);
    samples.add(name + ": out of service VM-s", outOfServiceVmSeconds);
    samples.add(name + ": moves", moves);
    samples.add(name + ": budgets broken", brokenBudgets);
    samples.add(name + ": reboots that cut off work", rebootsDuringWork);
  }
}
