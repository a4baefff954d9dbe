package org.lentilsail.policy.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;
import org.lentilsail.model.record.ServiceSpec;
import org.lentilsail.model.record.WaveSpec;
import org.lentilsail.policy.fleet.FleetView;
import org.lentilsail.policy.fleet.VmObservation;

/**
 * Derives from the phases what has to be done, so that every holder arrives at the same actions.
 */
final class ActionRules {
  /** Time in ms after which an action without visible effect is repeated. */
  private static final long REPEAT_MILLIS = 2_000;

  /** Time in ms after which a checkpoint is repeated. */
  private static final long CHECKPOINT_REPEAT_MILLIS = 30_000;

  /** Time in ms without a response after which a VM that verifies is probed. */
  private static final long PROBE_AFTER_MILLIS = 5_000;

  /** Time in ms between probes of one VM. */
  private static final long PROBE_REPEAT_MILLIS = 1_000;

  /** Drain limit in s of VMs that no wave drains. */
  private static final int DEFAULT_DRAIN_LIMIT_SECONDS = 300;

  /** Milliseconds in a second. */
  private static final long MILLIS = 1_000;

  /** The fleet at the end of this round. */
  private final FleetView view;

  /** What the holder remembers. */
  private final ControllerState memory;

  /** Probe path by pool; pools without services are missing. */
  private final Map<String, String> probePaths = new TreeMap<>();

  /** The actions. */
  private final List<ControlAction> actions = new ArrayList<>();

  /**
   * Creates the rules.
   *
   * @param view the fleet at the end of this round
   * @param memory what the holder remembers
   */
  ActionRules(final FleetView view, final ControllerState memory) {
    this.view = view;
    this.memory = memory;
    for (final ServiceSpec service : new TreeMap<>(view.records().services()).values()) {
      probePaths.putIfAbsent(service.pool(), service.probePath());
    }
  }

  /**
   * Derives the actions.
   *
   * @return the actions in order of VM
   */
  List<ControlAction> apply() {
    for (final VmEntry vm : view.vms().values()) {
      final VmObservation seen = view.observation(vm.vm());
      final boolean current = seen != null && seen.bootGeneration() == vm.bootGeneration();
      final boolean drains = current && seen.draining();
      switch (vm.phase()) {
        case DRAINING, STOPPED, HELD -> drain(vm, drains);
        case REBOOTING -> reboot(vm);
        case VERIFYING -> {
          operate(vm, Operation.UNDRAIN, drains);
          probe(vm);
        }
        case IN_SERVICE -> {
          // A late repeat of a drain by an earlier holder is undone.
          if (drains) {
            operate(vm, Operation.UNDRAIN, true);
          }
        }
        default -> {
          // Nothing can be done with a lost VM.
        }
      }
    }
    return actions;
  }

  private void drain(final VmEntry vm, final boolean drains) {
    if (view.hasReportingDaemon(vm)) {
      operate(vm, Operation.DRAIN, !drains);
      final WaveSpec wave = view.records().waves().get(vm.wave());
      final int limit = wave == null ? DEFAULT_DRAIN_LIMIT_SECONDS : wave.drainLimitSeconds();
      if (vm.phase() == VmPhase.DRAINING
          && view.nowMillis() - vm.sinceMillis() >= limit * MILLIS
          && memory.recordIfDue(key(vm, Operation.CHECKPOINT), CHECKPOINT_REPEAT_MILLIS, now())) {
        add(vm, Operation.CHECKPOINT);
      }
    }
  }

  private void reboot(final VmEntry vm) {
    if (view.hasReportingDaemon(vm)) {
      operate(vm, Operation.REBOOT, true);
    }
  }

  private void probe(final VmEntry vm) {
    final PhaseObservation mark = memory.phase(vm.vm());
    final String path = probePaths.get(vm.pool());
    final boolean silent =
        mark != null
            && mark.phase() == VmPhase.VERIFYING
            && (path == null
                || now() - mark.progressMillis() >= PROBE_AFTER_MILLIS
                || mark.probing());
    if (silent && memory.recordIfDue(vm.vm() + "/probe", PROBE_REPEAT_MILLIS, now())) {
      memory.recordProbing(vm.vm());
      actions.add(new ProbeAction(vm.vm(), vm.address(), path == null ? "/" : path));
    }
  }

  /** Adds an operation the first time in a phase, and later as long as it has to be repeated. */
  private void operate(final VmEntry vm, final Operation operation, final boolean repeat) {
    final long every = repeat ? REPEAT_MILLIS : Long.MAX_VALUE;
    if (memory.recordIfDue(key(vm, operation), every, now())) {
      add(vm, operation);
    }
  }

  private void add(final VmEntry vm, final Operation operation) {
    actions.add(new OperateAction(vm.vm(), operation, vm.bootGeneration()));
  }

  private static String key(final VmEntry vm, final Operation operation) {
    return vm.vm() + "/" + operation + "/" + vm.bootGeneration() + "/" + vm.sinceMillis();
  }

  private long now() {
    return view.nowMillis();
  }
}
