package org.lentilsail.policy.scenario;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
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
import org.lentilsail.model.record.BudgetSpec;
import org.lentilsail.model.record.HoldSpec;
import org.lentilsail.model.record.PoolSpec;
import org.lentilsail.model.record.Records;
import org.lentilsail.model.record.ServiceSpec;
import org.lentilsail.model.record.WaveSpec;
import org.lentilsail.model.time.ManualTimeSource;
import org.lentilsail.policy.capacity.PolicyWeights;
import org.lentilsail.policy.control.ControlAction;
import org.lentilsail.policy.control.ControlRound;
import org.lentilsail.policy.control.ControllerState;
import org.lentilsail.policy.control.OperateAction;
import org.lentilsail.policy.control.ProbeAction;
import org.lentilsail.policy.control.RoundInput;
import org.lentilsail.policy.control.RoundResult;
import org.lentilsail.policy.fleet.ReceivedReport;
import org.lentilsail.policy.fleet.VmObservation;
import org.lentilsail.policy.fleet.VmState;

/** Simulates VMs, daemons and a leader on a manual clock around the real control round. */
final class FleetSimulation {
  static final long TICK_MILLIS = 500;
  private static final long LEASE_MILLIS = 5_000;
  private static final long DUPLICATE_DELAY_MILLIS = 3_000;

  final ManualTimeSource time = new ManualTimeSource(0);
  final Map<String, FakeVm> vms = new TreeMap<>();
  final Map<String, PoolSpec> pools = new TreeMap<>();
  final Map<String, ServiceSpec> services = new TreeMap<>();
  final Map<String, BudgetSpec> budgets = new TreeMap<>();
  final Map<String, WaveSpec> waves = new TreeMap<>();
  final Map<String, HoldSpec> holds = new TreeMap<>();
  final Map<String, String> daemons = new TreeMap<>();
  final Map<String, DaemonReport> lastReports = new HashMap<>();
  final Map<String, Long> lastReportMillis = new HashMap<>();
  final Set<String> silentDaemons = new TreeSet<>();
  final Map<String, Integer> demand = new HashMap<>();

  /** Maximum number of unavailable VMs that a scenario allows at any time, by service. */
  final Map<String, Integer> limits = new TreeMap<>();

  final Map<String, Integer> probed = new HashMap<>();
  private final Deque<List<VmObservation>> lists = new ArrayDeque<>();
  private final Map<Long, List<OperateAction>> delayedActions = new TreeMap<>();
  FleetDocument document = FleetDocument.empty();
  long lagMillis;
  boolean requests = true;
  boolean crashAfterWrite;
  boolean crashAfterEveryWrite;
  boolean duplicate;
  private long revision = 1;
  private long leaderFromMillis;
  private ControllerState controllerState = new ControllerState();

  long now() {
    return time.wallMillis();
  }

  /** Puts all VMs into service, as after an hour without events. */
  void putAllInService() {
    final Map<String, VmEntry> entries = new HashMap<>();
    for (final FakeVm vm : vms.values()) {
      entries.put(
          vm.name, VmEntry.inService(vm.name, vm.name + ":80", vm.zone, vm.rack, vm.pool, 1, 0));
    }
    document = new FleetDocument(1, "e1", entries, Map.of());
  }

  Records records() {
    return new Records(pools, services, budgets, waves, holds);
  }

  /** Advances by one tick, in which daemons report and the leader runs a control round. */
  void tick() {
    time.advance(Duration.ofMillis(TICK_MILLIS));
    delayedActions.entrySet().removeIf(this::deliverDelayed);
    lists.addLast(vms.values().stream().map(vm -> vm.observe(now())).toList());
    while (lists.size() > 1 + lagMillis / TICK_MILLIS) {
      lists.removeFirst();
    }
    updateResponses();
    report();
    if (now() >= leaderFromMillis) {
      runControlRound();
    }
    limits.forEach(this::checkLimit);
  }

  private boolean deliverDelayed(final Map.Entry<Long, List<OperateAction>> entry) {
    final boolean due = entry.getKey() <= now();
    if (due) {
      entry.getValue().forEach(action -> vms.get(action.vm()).operate(action, now()));
    }
    return due;
  }

  private void updateResponses() {
    for (final FakeVm vm : vms.values()) {
      final VmEntry entry = document.vms().get(vm.name);
      final boolean verifies = entry != null && entry.phase() == VmPhase.VERIFYING;
      final boolean answers = vm.up(now()) && vm.answers && !vm.draining;
      vm.responses = !verifies ? 0 : vm.responses + (requests && answers ? 1 : 0);
      if (!verifies) {
        probed.remove(vm.name);
      }
    }
  }

  private void report() {
    for (final Map.Entry<String, String> daemon : daemons.entrySet()) {
      if (!silentDaemons.contains(daemon.getKey())) {
        lastReports.put(daemon.getKey(), report(daemon.getKey(), daemon.getValue()));
        lastReportMillis.put(daemon.getKey(), now());
      }
    }
  }

  private DaemonReport report(final String id, final String zone) {
    final Map<String, Integer> inFlight = new HashMap<>();
    final Map<String, Integer> responses = new HashMap<>();
    final Set<String> unhealthy = new TreeSet<>();
    for (final FakeVm vm : vms.values()) {
      if (vm.zone.equals(zone)) {
        inFlight.put(vm.name, vm.running(now()));
        responses.put(vm.name, vm.responses);
      }
      if (!vm.answers) {
        unhealthy.add(vm.name);
      }
    }
    final Map<String, ServiceLoad> loads = new HashMap<>();
    if (daemons.keySet().iterator().next().equals(id)) {
      demand.forEach((service, slots) -> loads.put(service, new ServiceLoad(slots, 0, 0)));
    }
    return new DaemonReport(id, zone, revision, loads, inFlight, responses, unhealthy);
  }

  private void runControlRound() {
    final List<ReceivedReport> received = new ArrayList<>();
    lastReports.forEach(
        (id, last) -> received.add(new ReceivedReport(last, now() - lastReportMillis.get(id))));
    final RoundResult result =
        ControlRound.run(
            new RoundInput(
                records(),
                document,
                revision,
                Optional.of(lists.getFirst()),
                received,
                probed,
                now(),
                PolicyWeights.equal()),
            controllerState);
    final boolean changed = !result.document().equals(document);
    if (changed) {
      checkPlannedDrains(result.document());
      document = result.document();
      revision++;
    }
    if (changed && (crashAfterWrite || crashAfterEveryWrite)) {
      crash();
    } else {
      result.actions().forEach(this::execute);
    }
  }

  void crash() {
    crashAfterWrite = false;
    leaderFromMillis = now() + LEASE_MILLIS;
    controllerState = new ControllerState();
    probed.clear();
  }

  private void execute(final ControlAction action) {
    final FakeVm vm = vms.get(action.vm());
    if (action instanceof OperateAction operate) {
      vm.operate(operate, now());
      if (duplicate) {
        delayedActions
            .computeIfAbsent(now() + DUPLICATE_DELAY_MILLIS, due -> new ArrayList<>())
            .add(operate);
      }
    } else if (action instanceof ProbeAction && vm.up(now()) && vm.answers && !vm.draining) {
      probed.merge(vm.name, 1, Integer::sum);
    }
  }

  /** Fails when a planned drain exceeds a budget, counted independently of the budget tracker. */
  private void checkPlannedDrains(final FleetDocument next) {
    for (final VmEntry vm : next.vms().values()) {
      final VmEntry old = document.vms().get(vm.vm());
      final HoldSpec hold = holds.get(vm.vm());
      final boolean planned =
          vm.purpose() == DrainPurpose.MAINTENANCE
              || vm.purpose() == DrainPurpose.MOVE
              || vm.purpose() == DrainPurpose.OPERATOR && hold != null && !hold.force();
      if (planned && old.phase() == VmPhase.IN_SERVICE && vm.phase() == VmPhase.DRAINING) {
        for (final ServiceSpec service : services.values()) {
          if (service.pool().equals(vm.pool())) {
            checkBudget(service.name(), next);
          }
        }
      }
    }
  }

  private void checkBudget(final String service, final FleetDocument next) {
    final int allowed = budgets.containsKey(service) ? budgets.get(service).count() : 1;
    final int out = unavailable(service, next);
    if (out > allowed) {
      throw new AssertionError(
          "a planned drain leaves " + out + " VMs of " + service + " unavailable, not " + allowed);
    }
  }

  int unavailable(final String service, final FleetDocument fleet) {
    final String pool = services.get(service).pool();
    int result = 0;
    for (final VmEntry vm : fleet.vms().values()) {
      final boolean newMember =
          vm.phase() == VmPhase.VERIFYING
              && (vm.purpose() == DrainPurpose.MOVE || vm.purpose() == DrainPurpose.NONE);
      final FakeVm real = vms.get(vm.vm());
      final boolean listedLive =
          lists.getFirst().stream()
              .anyMatch(seen -> seen.vm().equals(vm.vm()) && seen.state() == VmState.LIVE);
      final boolean out = vm.phase() != VmPhase.IN_SERVICE || !real.answers || !listedLive;
      result += vm.pool().equals(pool) && !newMember && out ? 1 : 0;
    }
    return result;
  }

  private void checkLimit(final String service, final int limit) {
    final int out = unavailable(service, document);
    if (out > limit) {
      throw new AssertionError(
          out + " VMs of " + service + " are unavailable, but only " + limit + " are allowed");
    }
  }
}
