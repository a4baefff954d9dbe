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

/** Runs the control round over modelled VMs and counts moves and broken guarantees. */
final class FleetModel {
  /** Step of the model in ms. */
  static final long TICK_MILLIS = 500;

  /** Lag of the platform's list in ticks. */
  private static final int LAG_TICKS = 4;

  /** Clock of the model. */
  final ManualTimeSource time = new ManualTimeSource(1);

  /** Weights of the metrics. */
  PolicyWeights weights = PolicyWeights.equal();

  /** VMs by name. */
  final Map<String, ModelVm> vms = new TreeMap<>();

  /** Demand in slots by service. */
  final Map<String, Integer> demand = new HashMap<>();

  /** Zones from which nothing is heard. */
  final Set<String> unreachableZones = new TreeSet<>();

  /** The operators' records. */
  Records records;

  /** The fleet document. */
  FleetDocument document;

  /** VMs that have changed pools. */
  int moves;

  /** Planned stops beyond a budget. */
  int brokenBudgets;

  /** Time in ns that the last round took. */
  long roundNanos;

  /** Revision of the document. */
  private long revision = 1;

  /** What the rounds remember. */
  private final ControllerState controllerState = new ControllerState();

  /** Lists of the platform that are still to be seen. */
  private final Deque<List<VmObservation>> pendingLists = new ArrayDeque<>();

  /** Decides on moves, null for the product's rules. */
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
    while (pendingLists.size() > LAG_TICKS) {
      pendingLists.removeFirst();
    }
    for (final ModelVm vm : vms.values()) {
      final VmEntry entry = document.vms().get(vm.name);
      final boolean verifies = entry != null && entry.phase() == VmPhase.VERIFYING;
      final boolean answers = now() >= vm.upAt && !vm.draining;
      vm.responses = verifies ? vm.responses + (answers ? 1 : 0) : 0;
    }
    final long began = System.nanoTime();
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
    roundNanos = System.nanoTime() - began;
    account(result.document());
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

  private void account(final FleetDocument next) {
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

  private long count(final FleetDocument of, final String pool, final boolean onlyOut) {
    return of.vms().values().stream()
        .filter(vm -> vm.pool().equals(pool) && FleetView.isPoolMember(vm))
        .filter(vm -> !onlyOut || !serves(vm) || unreachableZones.contains(vm.availabilityZone()))
        .count();
  }

  /** Tells whether a VM serves requests in fact. */
  boolean serves(final VmEntry vm) {
    return vm.phase() == VmPhase.IN_SERVICE && vms.get(vm.vm()).failsUntil <= now();
  }

  int rebootsDuringWork() {
    return vms.values().stream().mapToInt(vm -> vm.rebootsDuringWork).sum();
  }
}
