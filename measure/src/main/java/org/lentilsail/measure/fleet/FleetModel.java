package org.lentilsail.measure.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.lentilsail.model.fleet.DaemonReport;
import org.lentilsail.model.fleet.DrainPurpose;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.fleet.ServiceLoad;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;
import org.lentilsail.model.record.Records;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.policy.capacity.MovePolicy;
import org.lentilsail.policy.capacity.PolicyWeights;
import org.lentilsail.policy.control.ControlRound;
import org.lentilsail.policy.control.ControllerState;
import org.lentilsail.policy.control.OperateAction;
import org.lentilsail.policy.control.RoundInput;
import org.lentilsail.policy.control.RoundResult;
import org.lentilsail.policy.fleet.FleetView;
import org.lentilsail.policy.fleet.ReceivedReport;
import org.lentilsail.policy.fleet.VmObservation;

/** Runs the control round on simulated VMs and counts moves and violations of guarantees. */
final class FleetModel {
  /** Length of a simulation step in ms. */
  static final long TICK_MILLIS = 500;

  /** Delay in ticks before a change appears in the platform's list of VMs. */
  private static final int LIST_LAG_TICKS = 4;

  final ManualTimeSource time = new ManualTimeSource(1);

  /** Weights of the policy's cost metrics. */
  PolicyWeights weights = PolicyWeights.equal();

  final Map<String, ModelVm> vms = new TreeMap<>();

  /** Demand in slots by service. */
  final Map<String, Integer> demand = new HashMap<>();

  /** Zones from which no reports are received. */
  final Set<String> unreachableZones = new TreeSet<>();

  /** Configuration records of the operators. */
  Records records;

  /** Fleet document after the latest round. */
  FleetDocument document;

  /** Number of VM moves between pools. */
  int moves;

  /** Number of violations of an availability budget by planned stops. */
  int brokenBudgets;

  /** Duration of the latest round in ns. */
  long roundNanos;

  /** Revision of the fleet document. */
  private long revision = 1;

  /** State that the controller retains between rounds. */
  private final ControllerState controllerState = new ControllerState();

  /** Delayed lists of VMs, oldest first; a round uses the oldest one. */
  private final Deque<List<VmObservation>> pendingLists = new ArrayDeque<>();

  /** Move policy, null for the product's own. */
  private final MovePolicy policy;

  FleetModel(final Records records, final List<ModelVm> all) {
    this(records, all, null);
  }

  FleetModel(final Records records, final List<ModelVm> all, final MovePolicy policy) {
    this.records = records;
    this.policy = policy;
    final Map<String, VmEntry> entries = new HashMap<>();
    for (final ModelVm vm : all) {
      vms.put(vm.name, vm);
      entries.put(
          vm.name, VmEntry.inService(vm.name, vm.name + ":80", vm.zone, vm.rack, vm.pool, 1, 0));
    }
    document = new FleetDocument(1, "e", entries, Map.of());
  }

  long now() {
    return time.wallMillis();
  }

  void tick() {
    time.advance(Duration.ofMillis(TICK_MILLIS));
    pendingLists.addLast(vms.values().stream().map(vm -> vm.observe(now())).toList());
    while (pendingLists.size() > LIST_LAG_TICKS) {
      pendingLists.removeFirst();
    }
    for (final ModelVm vm : vms.values()) {
      final VmEntry entry = document.vms().get(vm.name);
      final boolean isVerifying = entry != null && entry.phase() == VmPhase.VERIFYING;
      final boolean responds = now() >= vm.upAt && !vm.draining;
      vm.responses = isVerifying ? vm.responses + (responds ? 1 : 0) : 0;
    }
    final long startNanos = System.nanoTime();
    final RoundInput input =
        new RoundInput(
            records,
            document,
            revision,
            Optional.of(pendingLists.getFirst()),
            reports(),
            Map.of(),
            now(),
            weights);
    final RoundResult result =
        policy == null
            ? ControlRound.run(input, controllerState)
            : ControlRound.run(input, controllerState, policy);
    roundNanos = System.nanoTime() - startNanos;
    updateCounters(result.document());
    if (!result.document().equals(document)) {
      document = result.document();
      revision++;
    }
    for (final Object action : result.actions()) {
      if (action instanceof OperateAction operate) {
        vms.get(operate.vm()).operate(operate, now());
      }
    }
  }

  private List<ReceivedReport> reports() {
    final Set<String> zones = new TreeSet<>();
    vms.values().forEach(vm -> zones.add(vm.zone));
    zones.removeAll(unreachableZones);
    final List<ReceivedReport> result = new java.util.ArrayList<>();
    boolean first = true;
    for (final String zone : zones) {
      final Map<String, ServiceLoad> loads = new HashMap<>();
      final Map<String, Integer> inFlight = new HashMap<>();
      final Map<String, Integer> responses = new HashMap<>();
      final Set<String> failing = new TreeSet<>();
      for (final ModelVm vm : vms.values()) {
        if (vm.failsUntil > now()) {
          failing.add(vm.name);
        }
        if (first) {
          responses.put(vm.name, vm.responses);
          inFlight.put(vm.name, vm.running(now()));
        }
      }
      if (first) {
        demand.forEach((service, slots) -> loads.put(service, new ServiceLoad(slots, 0, 0)));
      }
      first = false;
      result.add(
          new ReceivedReport(
              new DaemonReport("e" + zone, zone, revision, loads, inFlight, responses, failing),
              0));
    }
    return result;
  }

  private void updateCounters(final FleetDocument next) {
    final Set<String> stopped = new TreeSet<>();
    for (final VmEntry vm : next.vms().values()) {
      final VmEntry before = document.vms().get(vm.vm());
      if (before != null && !before.pool().equals(vm.pool())) {
        moves++;
      }
      if (before != null
          && before.phase() == VmPhase.IN_SERVICE
          && vm.phase() == VmPhase.DRAINING
          && vm.purpose() != DrainPurpose.LEAVING) {
        stopped.add(vm.pool());
      }
    }
    for (final var budget : records.budgets().values()) {
      final String pool = records.services().get(budget.service()).pool();
      final long size = count(next, pool, false);
      if (stopped.contains(pool) && count(next, pool, true) > budget.allowed((int) size)) {
        brokenBudgets++;
      }
    }
  }

  private long count(final FleetDocument fleet, final String pool, final boolean onlyUnavailable) {
    return fleet.vms().values().stream()
        .filter(vm -> vm.pool().equals(pool) && FleetView.isPoolMember(vm))
        .filter(
            vm ->
                !onlyUnavailable || !serves(vm) || unreachableZones.contains(vm.availabilityZone()))
        .count();
  }

  /** Returns whether a VM is in service and does not fail. */
  boolean serves(final VmEntry vm) {
    return vm.phase() == VmPhase.IN_SERVICE && vms.get(vm.vm()).failsUntil <= now();
  }

  int rebootsDuringWork() {
    return vms.values().stream().mapToInt(vm -> vm.rebootsDuringWork).sum();
  }
}
