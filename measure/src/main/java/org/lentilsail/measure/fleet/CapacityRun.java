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
  final double served;

  /** Longest time in s for which a service was short by more than a VM. */
  final double longestShort;

  /** VM-seconds of the fleet beyond the VMs that demand needed. */
  final double idle;

  /** VM-seconds of the VMs in service beyond the need of their pool, spare pool included. */
  final double reserve;

  /** VM-seconds of VMs out of service: on a move, in maintenance or failed. */
  final double out;

  /** VMs that changed pools. */
  final int moves;

  /** Planned stops beyond a budget. */
  final int broken;

  /** Reboots that cut off work. */
  final int cutOff;

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
      final int[] demand = curve.at(tick);
      final int[] have = have(model, demand.length);
      for (int s = 0; s < demand.length; s++) {
        final int slots = have[s] * DemandCurve.SLOTS;
        asked += demand[s];
        got += Math.min(demand[s], slots);
        kept += Math.max(0, (slots - demand[s]) / DemandCurve.SLOTS);
        shortTicks[s] = demand[s] - slots > DemandCurve.SLOTS ? shortTicks[s] + 1 : 0;
        longest = Math.max(longest, shortTicks[s]);
      }
      kept += have[demand.length];
      serving += Arrays.stream(have).sum();
      needed += DemandCurve.vmsFor(demand);
    }
    final double fleet = (double) deployment.size() * curve.ticks();
    served = got / asked;
    longestShort = longest * TICK_SECONDS;
    idle = (fleet - needed) * TICK_SECONDS;
    reserve = kept * TICK_SECONDS;
    out = (fleet - serving) * TICK_SECONDS;
    moves = model.moves;
    broken = model.broken;
    cutOff = model.cutOffWork();
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
    samples.add(name + ": demand served", served);
    samples.add(name + ": longest shortage s", longestShort);
    samples.add(name + ": buffer VM-s", idle);
    samples.add(name + ": of that in reserve VM-s", reserve);
    samples.add(name + ": out of service VM-s", out);
    samples.add(name + ": moves", moves);
    samples.add(name + ": budgets broken", broken);
    samples.add(name + ": reboots that cut off work", cutOff);
  }
}
