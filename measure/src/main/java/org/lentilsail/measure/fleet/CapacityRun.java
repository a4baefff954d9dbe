package org.lentilsail.measure.fleet;

import java.util.Arrays;
import java.util.Random;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.policy.capacity.MovePolicy;
import org.lentilsail.policy.capacity.PolicyWeights;

/** Figures of one fleet under one demand curve, with faults, a wave and budgets. */
final class CapacityRun {
  /** Seconds of a tick. */
  private static final double TICK_SECONDS = FleetModel.TICK_MILLIS / 1_000.0;

  /** Share of demand that was served when it arose. */
  final double servedShare;

  /** Longest time in s for which a service was short by more than a VM. */
  final double longestShortageSeconds;

  /** VM-seconds of the fleet beyond the VMs that demand needed. */
  final double bufferVmSeconds;

  /** VM-seconds of the VMs in service beyond the need of their pool, spare pool included. */
  final double reserveVmSeconds;

  /** VM-seconds of VMs out of service: on a move, in maintenance or failed. */
  final double outOfServiceVmSeconds;

  /** VMs that changed pools. */
  final int moves;

  /** Planned stops beyond a budget. */
  final int brokenBudgets;

  /** Reboots that cut off work. */
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
    double asked = 0;
    double got = 0;
    long needed = 0;
    long kept = 0;
    long serving = 0;
    int longest = 0;
    for (int tick = 0; tick < curve.ticks(); tick++) {
      curve.apply(model, tick);
      model.tick();
      final int[] demand = curve.demandAt(tick);
      final int[] have = have(model, demand.length);
      for (int s = 0; s < demand.length; s++) {
        final int slots = have[s] * DemandCurve.SLOTS_PER_VM;
        asked += demand[s];
        got += Math.min(demand[s], slots);
        kept += Math.max(0, (slots - demand[s]) / DemandCurve.SLOTS_PER_VM);
        shortTicks[s] = demand[s] - slots > DemandCurve.SLOTS_PER_VM ? shortTicks[s] + 1 : 0;
        longest = Math.max(longest, shortTicks[s]);
      }
      kept += have[demand.length];
      serving += Arrays.stream(have).sum();
      needed += DemandCurve.vmsFor(demand);
    }
    final double fleet = (double) deployment.size() * curve.ticks();
    servedShare = got / asked;
    longestShortageSeconds = longest * TICK_SECONDS;
    bufferVmSeconds = (fleet - needed) * TICK_SECONDS;
    reserveVmSeconds = kept * TICK_SECONDS;
    outOfServiceVmSeconds = (fleet - serving) * TICK_SECONDS;
    moves = model.moves;
    brokenBudgets = model.brokenBudgets;
    rebootsDuringWork = model.rebootsDuringWork();
  }

  /** VMs that serve by service, with those in the spare pool at the end. */
  private static int[] have(final FleetModel model, final int services) {
    final int[] result = new int[services + 1];
    for (final VmEntry vm : model.document.vms().values()) {
      if (model.serves(vm)) {
        result[vm.pool().startsWith("p") ? Integer.parseInt(vm.pool().substring(1)) : services]++;
      }
    }
    return result;
  }

  void add(final Samples samples, final String name, final int fleet) {
    samples.add(name + ": VMs", fleet);
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
