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
 * Derives the actions from the phases of the VMs, so that every leader arrives at the same actions.
 */
final class ActionRules {
  /** Time in ms after which an action without visible effect is repeated. */
  private static final long REPEAT_MILLIS = 2_000;

  /** Time in ms after which a checkpoint is repeated. */
  private static final long CHECKPOINT_REPEAT_MILLIS = 30_000;

  /** Time in ms without a response after which a verifying VM is probed. */
  private static final long PROBE_AFTER_MILLIS = 5_000;

  /** Time in ms between probes of one VM. */
  private static final long PROBE_REPEAT_MILLIS = 1_000;

  /** Drain limit in s of VMs that no wave drains. */
  private static final int DEFAULT_DRAIN_LIMIT_SECONDS = 300;

  private static final long MILLIS_PER_SECOND = 1_000;

  /** The fleet at the end of this round. */
  private final FleetView view;

  private final ControllerState controllerState;

  /** Probe path by pool; pools without services have no entry. */
  private final Map<String, String> probePaths = new TreeMap<>();

  private final List<ControlAction> actions = new ArrayList<>();

  /**
   * Creates the rules.
   *
   * @param view the fleet at the end of this round
   * @param controllerState state that the leader keeps between rounds
   */
  ActionRules(final FleetView view, final ControllerState controllerState) {
    this.view = view;
    this.controllerState = controllerState;
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
      final VmObservation observed = view.observation(vm.vm());
      final boolean current = observed != null && observed.bootGeneration() == vm.bootGeneration();
      final boolean isDraining = current && observed.draining();
      switch (vm.phase()) {
        case DRAINING, STOPPED, HELD -> drain(vm, isDraining);
        case REBOOTING -> reboot(vm);
        case VERIFYING -> {
          operate(vm, Operation.UNDRAIN, isDraining);
          probe(vm);
        }
        case IN_SERVICE -> {
          // Undoes a drain that a previous leader repeated late.
          if (isDraining) {
            operate(vm, Operation.UNDRAIN, true);
          }
        }
        default -> {
          // No operation applies to a lost VM.
        }
      }
    }
    return actions;
  }

  private void drain(final VmEntry vm, final boolean isDraining) {
    if (view.hasReportingDaemon(vm)) {
      operate(vm, Operation.DRAIN, !isDraining);
      final WaveSpec wave = view.records().waves().get(vm.wave());
      final int limit = wave == null ? DEFAULT_DRAIN_LIMIT_SECONDS : wave.drainLimitSeconds();
      if (vm.phase() == VmPhase.DRAINING
          && view.nowMillis() - vm.sinceMillis() >= limit * MILLIS_PER_SECOND
          && controllerState.recordIfDue(
              key(vm, Operation.CHECKPOINT), CHECKPOINT_REPEAT_MILLIS, now())) {
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
    final PhaseObservation phaseObservation = controllerState.phase(vm.vm());
    final String path = probePaths.get(vm.pool());
    final boolean needsProbe =
        phaseObservation != null
            && phaseObservation.phase() == VmPhase.VERIFYING
            && (path == null
                || now() - phaseObservation.progressMillis() >= PROBE_AFTER_MILLIS
                || phaseObservation.probing());
    if (needsProbe && controllerState.recordIfDue(vm.vm() + "/probe", PROBE_REPEAT_MILLIS, now())) {
      controllerState.recordProbing(vm.vm());
      actions.add(new ProbeAction(vm.vm(), vm.address(), path == null ? "/" : path));
    }
  }

  /** Adds an operation once in each phase, and periodically as long as it has to be repeated. */
  private void operate(final VmEntry vm, final Operation operation, final boolean repeat) {
    final long intervalMillis = repeat ? REPEAT_MILLIS : Long.MAX_VALUE;
    if (controllerState.recordIfDue(key(vm, operation), intervalMillis, now())) {
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
