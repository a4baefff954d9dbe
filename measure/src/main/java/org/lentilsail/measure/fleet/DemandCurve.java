package org.lentilsail.measure.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** Demand and faults of a run, identical for every fleet size and move policy. */
final class DemandCurve {
  /** Concurrent request slots of a VM. */
  static final int SLOTS_PER_VM = 8;

  /** Peak demand as a multiple of the slots of the service's pool. */
  private static final double PEAK_FACTOR = 1.25;

  /** Demand between peaks as a share of the peak: 1/20 of the mean, which is 1/5 of the peak. */
  private static final double OFF_PEAK_SHARE = 0.01;

  /** Ticks between two VM failures. */
  private static final int FAILURE_INTERVAL_TICKS = 1_200;

  /** Duration of a VM failure in ms. */
  private static final long FAILURE_MILLIS = 300_000;

  /** Number of ticks during which a zone is unreachable, from the middle of the run. */
  private static final int UNREACHABLE_TICKS = 240;

  /** Demand in slots by tick and service. */
  private final List<int[]> demands = new ArrayList<>();

  /** Position of the failing VM in the fleet, as a share of the fleet size, by failure. */
  private final double[] failurePositions;

  DemandCurve(final Deployment full, final long seed, final int ticks) {
    final Random random = new Random(seed);
    int peak = 0;
    while (demands.size() < ticks) {
      final int length = Math.min(360 + random.nextInt(480), ticks - demands.size());
      for (int i = 0; i < length; i++) {
        final int[] slots = new int[full.pools().length];
        for (int s = 0; s < slots.length; s++) {
          final double peakSlots = full.pools()[s] * SLOTS_PER_VM * PEAK_FACTOR;
          final double mean = s == peak ? peakSlots : peakSlots * OFF_PEAK_SHARE;
          slots[s] = (int) Math.max(0, Math.round(mean * (1 + 0.1 * random.nextGaussian())));
        }
        demands.add(slots);
      }
      peak = (peak + 1) % full.pools().length;
    }
    failurePositions = random.doubles(ticks / FAILURE_INTERVAL_TICKS + 1).toArray();
  }

  /** Applies the demand and the faults of a tick to a model. */
  void apply(final FleetModel model, final int tick) {
    final int[] slots = demands.get(tick);
    for (int s = 0; s < slots.length; s++) {
      model.demand.put("s" + s, slots[s]);
    }
    if (tick % FAILURE_INTERVAL_TICKS == FAILURE_INTERVAL_TICKS / 2) {
      final List<ModelVm> all = List.copyOf(model.vms.values());
      final int index = (int) (failurePositions[tick / FAILURE_INTERVAL_TICKS] * all.size());
      all.get(index).failsUntil = model.now() + FAILURE_MILLIS;
    }
    model.unreachableZones.clear();
    if (tick > demands.size() / 2 && tick < demands.size() / 2 + UNREACHABLE_TICKS) {
      model.unreachableZones.add("z0");
    }
  }

  int ticks() {
    return demands.size();
  }

  int[] demandAt(final int tick) {
    return demands.get(tick);
  }

  /** Returns the number of VMs that a demand needs when all their slots are in use. */
  static int vmsFor(final int[] demand) {
    return Arrays.stream(demand).map(slots -> (slots + SLOTS_PER_VM - 1) / SLOTS_PER_VM).sum();
  }

  /** Returns the maximum number of VMs that are needed at the same time. */
  int peakVms() {
    return demands.stream().mapToInt(DemandCurve::vmsFor).max().orElse(0);
  }
}
