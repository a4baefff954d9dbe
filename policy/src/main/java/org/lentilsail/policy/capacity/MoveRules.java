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

/** Moves VMs to pools with a shortage, and back to the spare pool after a long surplus. */
public final class MoveRules {
  /**
   * Cost of a move in VM-seconds of shortage: a VM is out of service for about this long during a
   * move.
   */
  private static final double MOVE_COST_VM_SECONDS = 4;

  /** Shortage in VM-seconds that a VM avoids when it joins a pool before the peak. */
  private static final double EARLY_GAIN_VM_SECONDS = 8;

  /**
   * Time in ms for which a higher requirement is retained when moves and waiting time have the same
   * weight.
   */
  private static final double WINDOW_MILLIS = 20_000;

  /**
   * Surplus time in ms after which a VM returns to the spare pool when moves and buffer cost have
   * the same weight. It is long because a pool with a shortage can take the VM directly in one
   * move.
   */
  private static final double RETURN_MILLIS = 1_800_000;

  private final FleetView view;

  private final DemandTracker demandTracker;

  private final PolicyWeights weights;

  /** Number of VMs that each pool has or is about to get. */
  private final Map<String, Integer> vmCounts = new HashMap<>();

  /** VMs that may be moved, by pool. */
  private final Map<String, List<VmEntry>> candidates = new TreeMap<>();

  /** Number of VMs by pool and availability zone, to spread a pool over the zones. */
  private final Map<String, Integer> zoneCounts = new HashMap<>();

  /**
   * Creates the rules.
   *
   * @param view the fleet in this round
   * @param demandTracker demand of the services
   * @param weights weights of the metrics
   */
  public MoveRules(
      final FleetView view, final DemandTracker demandTracker, final PolicyWeights weights) {
    this.view = view;
    this.demandTracker = demandTracker;
    this.weights = weights;
  }

  /**
   * Processes the reports and starts the moves that are due.
   *
   * @param reports the daemons' last reports
   */
  public void apply(final List<ReceivedReport> reports) {
    final double weightRatio = weights.moves() / weights.waitingTime();
    demandTracker.update(
        view.records(), reports, view.nowMillis(), (long) (WINDOW_MILLIS * weightRatio));
    index();
    final List<String> shortPools = new ArrayList<>();
    for (final Map.Entry<String, PoolDemand> pool : demandTracker.poolDemands().entrySet()) {
      final PoolDemand poolDemand = pool.getValue();
      poolDemand.recordSupply(vmCount(pool.getKey()), view.nowMillis());
      if (poolDemand.shortageVmSeconds() * weights.waitingTime()
          >= MOVE_COST_VM_SECONDS * weights.moves()) {
        shortPools.add(pool.getKey());
      }
    }
    shortPools.sort(
        Comparator.comparingDouble(
            pool -> -demandTracker.poolDemands().get(pool).shortageVmSeconds()));
    shortPools.forEach(
        pool ->
            fill(pool, demandTracker.poolDemands().get(pool).requiredVms() - vmCount(pool), ""));
    if (shortPools.isEmpty()) {
      prepareForPeak();
      returnToSparePool();
    }
  }

  private void index() {
    for (final VmEntry vm : view.vms().values()) {
      if (usable(vm)) {
        final String pool = vm.targetPool().isEmpty() ? vm.pool() : vm.targetPool();
        vmCounts.merge(pool, 1, Integer::sum);
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

  /** Moves VMs into a pool until it has the wanted number or no donor is left. */
  private void fill(final String pool, final int wanted, final String excludedDonor) {
    final String nextPeakPool = demandTracker.peakForecast().nextPeakPool();
    final List<String> donors = new ArrayList<>(candidates.keySet());
    donors.removeIf(
        donor -> donor.equals(pool) || donor.equals(excludedDonor) || surplus(donor) <= 0);
    donors.sort(
        Comparator.<String, Boolean>comparing(donor -> !spare(donor))
            .thenComparing(donor -> donor.equals(nextPeakPool))
            .thenComparing(donor -> -surplus(donor)));
    int left = wanted;
    for (final String donor : donors) {
      while (left > 0 && surplus(donor) > 0 && moveOne(donor, pool)) {
        left--;
      }
    }
  }

  /** Moves VMs that no pool needs into the pool that is expected to have the next peak. */
  private void prepareForPeak() {
    final String pool = demandTracker.peakForecast().nextPeakPool();
    final double confidence = demandTracker.peakForecast().confidence();
    final double gain = confidence * EARLY_GAIN_VM_SECONDS * weights.waitingTime();
    final double loss = (1 - confidence) * MOVE_COST_VM_SECONDS * weights.moves();
    if (demandTracker.poolDemands().containsKey(pool) && gain > loss) {
      fill(
          pool,
          demandTracker.peakForecast().peakVms(pool) - vmCount(pool),
          demandTracker.peakForecast().currentPeakPool());
    }
  }

  private void returnToSparePool() {
    final String spare =
        view.records().pools().values().stream()
            .filter(PoolSpec::spare)
            .map(PoolSpec::name)
            .min(Comparator.naturalOrder())
            .orElse(null);
    final double returnMillis = RETURN_MILLIS * weights.moves() / weights.bufferCost();
    for (final Map.Entry<String, PoolDemand> pool : demandTracker.poolDemands().entrySet()) {
      if (spare != null
          && !spare(pool.getKey())
          && belowMaximum(spare)
          && surplus(pool.getKey()) > 0
          && pool.getValue().surplusMillis(view.nowMillis()) >= returnMillis) {
        moveOne(pool.getKey(), spare);
      }
    }
  }

  /**
   * Starts to move the VM whose move spreads both pools best over the zones; returns false when no
   * VM may be moved.
   */
  private boolean moveOne(final String donor, final String receiver) {
    final List<VmEntry> movable = candidates.getOrDefault(donor, new ArrayList<>());
    movable.sort(
        Comparator.comparingInt(
            vm ->
                zoneCounts.getOrDefault(key(receiver, vm.availabilityZone()), 0)
                    - zoneCounts.getOrDefault(key(donor, vm.availabilityZone()), 0)));
    boolean result = false;
    for (int i = 0; i < movable.size() && !result; i++) {
      final VmEntry vm = movable.get(i);
      result = view.tryDrain(vm.vm(), DrainPurpose.MOVE, receiver, "");
      if (result) {
        movable.remove(i);
        vmCounts.merge(donor, -1, Integer::sum);
        vmCounts.merge(receiver, 1, Integer::sum);
        zoneCounts.merge(key(donor, vm.availabilityZone()), -1, Integer::sum);
        zoneCounts.merge(key(receiver, vm.availabilityZone()), 1, Integer::sum);
      }
    }
    return result;
  }

  /**
   * Returns the number of VMs that a pool can release without falling below its minimum or its
   * recent requirement.
   */
  private int surplus(final String pool) {
    final PoolSpec spec = view.records().pools().get(pool);
    final PoolDemand poolDemand = demandTracker.poolDemands().get(pool);
    final int minimum = spec == null ? Integer.MAX_VALUE : spec.minimumVms();
    return vmCount(pool)
        - Math.max(minimum, poolDemand == null ? 0 : poolDemand.recentMaximumVms());
  }

  private boolean belowMaximum(final String pool) {
    final int maximum = view.records().pools().get(pool).maximumVms();
    return maximum == 0 || vmCount(pool) < maximum;
  }

  private boolean spare(final String pool) {
    final PoolSpec spec = view.records().pools().get(pool);
    return spec != null && spec.spare();
  }

  private int vmCount(final String pool) {
    return vmCounts.getOrDefault(pool, 0);
  }

  private static String key(final String pool, final String zone) {
    return pool + "/" + zone;
  }
}
