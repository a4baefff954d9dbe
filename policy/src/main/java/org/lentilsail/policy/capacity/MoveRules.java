package org.lentilsail.policy.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lentilsail.model.fleet.DrainPurpose;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;
import org.lentilsail.model.record.PoolSpec;
import org.lentilsail.policy.fleet.FleetView;
import org.lentilsail.policy.fleet.ReceivedReport;

/** Moves VMs to pools that are short of them, and back to the spare pool after a long surplus. */
public final class MoveRules {
  /** Cost of a move in VM-seconds of shortage: a VM is out for about this long on its way. */
  private static final double MOVE_COST_VM_SECONDS = 4;

  /** Shortage in VM-seconds that a VM spares a pool when it is there before the peak. */
  private static final double EARLY_GAIN_VM_SECONDS = 8;

  /** Time in ms for which a need is remembered when moves and waiting weigh the same. */
  private static final double WINDOW_MILLIS = 20_000;

  /**
   * Surplus time in ms after which a VM returns to the spare pool when moves and buffer cost weigh
   * the same. It is long, because a pool that gets short takes the VM directly in one move.
   */
  private static final double RETURN_MILLIS = 1_800_000;

  /** The fleet in this round. */
  private final FleetView view;

  /** Demand of the services. */
  private final DemandTracker demand;

  /** Weights of the metrics. */
  private final PolicyWeights weights;

  /** VMs that each pool has or is about to get. */
  private final Map<String, Integer> have = new HashMap<>();

  /** VMs that may leave, by pool. */
  private final Map<String, List<VmEntry>> candidates = new TreeMap<>();

  /** VMs by pool and availability zone, to spread a pool over the zones. */
  private final Map<String, Integer> zoneCounts = new HashMap<>();

  /**
   * Creates the rules.
   *
   * @param view the fleet in this round
   * @param demand demand of the services
   * @param weights weights of the metrics
   */
  public MoveRules(final FleetView view, final DemandTracker demand, final PolicyWeights weights) {
    this.view = view;
    this.demand = demand;
    this.weights = weights;
  }

  /**
   * Takes in the reports and starts the moves that are due.
   *
   * @param reports the daemons' last reports
   */
  public void apply(final List<ReceivedReport> reports) {
    final double patience = weights.moves() / weights.waitingTime();
    demand.update(view.records(), reports, view.nowMillis(), (long) (WINDOW_MILLIS * patience));
    index();
    final List<String> shortPools = new ArrayList<>();
    for (final Map.Entry<String, PoolDemand> pool : demand.poolDemands().entrySet()) {
      final PoolDemand need = pool.getValue();
      need.recordSupply(has(pool.getKey()), view.nowMillis());
      if (need.shortageVmSeconds() * weights.waitingTime()
          >= MOVE_COST_VM_SECONDS * weights.moves()) {
        shortPools.add(pool.getKey());
      }
    }
    shortPools.sort(
        Comparator.comparingDouble(pool -> -demand.poolDemands().get(pool).shortageVmSeconds()));
    shortPools.forEach(
        pool -> fill(pool, demand.poolDemands().get(pool).requiredVms() - has(pool), ""));
    if (shortPools.isEmpty()) {
      prepare();
      giveBack();
    }
  }

  private void index() {
    for (final VmEntry vm : view.vms().values()) {
      if (usable(vm)) {
        final String pool = vm.targetPool().isEmpty() ? vm.pool() : vm.targetPool();
        have.merge(pool, 1, Integer::sum);
        zoneCounts.merge(key(pool, vm.availabilityZone()), 1, Integer::sum);
      }
      if (view.available(vm)) {
        candidates.computeIfAbsent(vm.pool(), pool -> new ArrayList<>()).add(vm);
      }
    }
  }

  private static boolean usable(final VmEntry vm) {
    return vm.phase() != VmPhase.LOST
        && vm.phase() != VmPhase.HELD
        && (vm.phase() == VmPhase.VERIFYING
            || vm.purpose() != DrainPurpose.LEAVING && vm.purpose() != DrainPurpose.OPERATOR);
  }

  /** Brings VMs into a pool until it has those it wants or no donor is left. */
  private void fill(final String pool, final int wanted, final String exempt) {
    final String expected = demand.peakForecast().nextPeakPool();
    final List<String> donors = new ArrayList<>(candidates.keySet());
    donors.removeIf(donor -> donor.equals(pool) || donor.equals(exempt) || surplus(donor) <= 0);
    donors.sort(
        Comparator.<String, Boolean>comparing(donor -> !spare(donor))
            .thenComparing(donor -> donor.equals(expected))
            .thenComparing(donor -> -surplus(donor)));
    int left = wanted;
    for (final String donor : donors) {
      while (left > 0 && surplus(donor) > 0 && moveOne(donor, pool)) {
        left--;
      }
    }
  }

  /** Brings VMs that no pool needs into the pool that is expected to have the next peak. */
  private void prepare() {
    final String pool = demand.peakForecast().nextPeakPool();
    final double hit = demand.peakForecast().confidence();
    final double gain = hit * EARLY_GAIN_VM_SECONDS * weights.waitingTime();
    final double loss = (1 - hit) * MOVE_COST_VM_SECONDS * weights.moves();
    if (demand.poolDemands().containsKey(pool) && gain > loss) {
      fill(
          pool,
          demand.peakForecast().peakVms(pool) - has(pool),
          demand.peakForecast().currentPeakPool());
    }
  }

  private void giveBack() {
    final String spare =
        view.records().pools().values().stream()
            .filter(PoolSpec::spare)
            .map(PoolSpec::name)
            .min(Comparator.naturalOrder())
            .orElse(null);
    final double patience = RETURN_MILLIS * weights.moves() / weights.bufferCost();
    for (final Map.Entry<String, PoolDemand> pool : demand.poolDemands().entrySet()) {
      if (spare != null
          && !spare(pool.getKey())
          && room(spare)
          && surplus(pool.getKey()) > 0
          && pool.getValue().surplusMillis(view.nowMillis()) >= patience) {
        moveOne(pool.getKey(), spare);
      }
    }
  }

  /** Starts to move the VM that spreads both pools best; false when no VM may leave. */
  private boolean moveOne(final String donor, final String receiver) {
    final List<VmEntry> open = candidates.getOrDefault(donor, new ArrayList<>());
    open.sort(
        Comparator.comparingInt(
            vm ->
                zoneCounts.getOrDefault(key(receiver, vm.availabilityZone()), 0)
                    - zoneCounts.getOrDefault(key(donor, vm.availabilityZone()), 0)));
    boolean result = false;
    for (int i = 0; i < open.size() && !result; i++) {
      final VmEntry vm = open.get(i);
      result = view.tryDrain(vm.vm(), DrainPurpose.MOVE, receiver, "");
      if (result) {
        open.remove(i);
        have.merge(donor, -1, Integer::sum);
        have.merge(receiver, 1, Integer::sum);
        zoneCounts.merge(key(donor, vm.availabilityZone()), -1, Integer::sum);
        zoneCounts.merge(key(receiver, vm.availabilityZone()), 1, Integer::sum);
      }
    }
    return result;
  }

  /** VMs that a pool can give away without going below its minimum or its recent need. */
  private int surplus(final String pool) {
    final PoolSpec spec = view.records().pools().get(pool);
    final PoolDemand need = demand.poolDemands().get(pool);
    final int least = spec == null ? Integer.MAX_VALUE : spec.minimumVms();
    return has(pool) - Math.max(least, need == null ? 0 : need.recentMaximumVms());
  }

  private boolean room(final String pool) {
    final int most = view.records().pools().get(pool).maximumVms();
    return most == 0 || has(pool) < most;
  }

  private boolean spare(final String pool) {
    final PoolSpec spec = view.records().pools().get(pool);
    return spec != null && spec.spare();
  }

  private int has(final String pool) {
    return have.getOrDefault(pool, 0);
  }

  private static String key(final String pool, final String zone) {
    return pool + "/" + zone;
  }
}
