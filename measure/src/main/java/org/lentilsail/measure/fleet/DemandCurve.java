package org.lentilsail.measure.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** Demand and faults of a run; both are the same for every fleet and way to move VMs. */
final class DemandCurve {
  /** Slots of a VM. */
  static final int SLOTS_PER_VM = 8;

  /** Slots that a peak asks for beyond the pool, as a factor. */
  private static final double PEAK = 1.25;

  /** Demand between peaks as a share of the peak: a twentieth of the mean, which is a fifth. */
  private static final double LOW = 0.01;

  /** Ticks between two failures of a VM. */
  private static final int FAULT_TICKS = 1_200;

  /** Time in ms for which a VM fails. */
  private static final long FAULT_MILLIS = 300_000;

  /** Ticks for which a zone is cut off in the middle of the run. */
  private static final int CUT_TICKS = 240;

  /** Demand in slots by tick and service. */
  private final List<int[]> demands = new ArrayList<>();

  /** Place in the fleet of the VM that fails next, as a share of its size, by failure. */
  private final double[] victims;

  DemandCurve(final Deployment full, final long seed, final int ticks) {
    final Random random = new Random(seed);
    int peak = 0;
    while (demands.size() < ticks) {
      final int length = Math.min(360 + random.nextInt(480), ticks - demands.size());
      for (int i = 0; i < length; i++) {
        final int[] now = new int[full.pools().length];
        for (int s = 0; s < now.length; s++) {
          final double high = full.pools()[s] * SLOTS_PER_VM * PEAK;
          final double mean = s == peak ? high : high * LOW;
          now[s] = (int) Math.max(0, Math.round(mean * (1 + 0.1 * random.nextGaussian())));
        }
        demands.add(now);
      }
      peak = (peak + 1) % full.pools().length;
    }
    victims = random.doubles(ticks / FAULT_TICKS + 1).toArray();
  }

  /** Sets demand and faults of a tick in a model. */
  void apply(final FleetModel model, final int tick) {
    final int[] now = demands.get(tick);
    for (int s = 0; s < now.length; s++) {
      model.demand.put("s" + s, now[s]);
    }
    if (tick % FAULT_TICKS == FAULT_TICKS / 2) {
      final List<ModelVm> all = List.copyOf(model.vms.values());
      final int victim = (int) (victims[tick / FAULT_TICKS] * all.size());
      all.get(victim).failsUntil = model.now() + FAULT_MILLIS;
    }
    model.unreachableZones.clear();
    if (tick > demands.size() / 2 && tick < demands.size() / 2 + CUT_TICKS) {
      model.unreachableZones.add("z0");
    }
  }

  int ticks() {
    return demands.size();
  }

  int[] demandAt(final int tick) {
    return demands.get(tick);
  }

  /** VMs that serve a demand with all slots in use. */
  static int vmsFor(final int[] demand) {
    return Arrays.stream(demand).map(slots -> (slots + SLOTS_PER_VM - 1) / SLOTS_PER_VM).sum();
  }

  /** Most VMs that are needed at once. */
  int peakVms() {
    return demands.stream().mapToInt(DemandCurve::vmsFor).max().orElse(0);
  }
}
