package org.lentilsail.policy.control;

import java.util.List;
import org.lentilsail.model.fleet.DrainPurpose;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;
import org.lentilsail.model.record.PoolSpec;
import org.lentilsail.policy.fleet.FleetView;
import org.lentilsail.policy.fleet.ReceivedReport;
import org.lentilsail.policy.fleet.VmChanges;
import org.lentilsail.policy.fleet.VmObservation;
import org.lentilsail.policy.fleet.VmState;

/** Advances each VM by at most one phase according to the observations about it. */
final class PhaseRules {
  /** Number of responses after which a verifying VM enters service. */
  private static final int RESPONSES_TO_VERIFY = 3;

  /**
   * Time in ms for which a VM must be missing from the platform's list before it counts as lost, so
   * that a truncated list does not cost capacity.
   */
  private static final long MISSING_MILLIS = 5_000;

  /** Time in ms for which a rebooting VM may be missing from the list before it counts as lost. */
  private static final long REBOOT_MISSING_MILLIS = 300_000;

  /**
   * Time in ms after which a lost VM is removed from the document, so that it no longer counts
   * against its pool's budget.
   */
  private static final long FORGET_MILLIS = 3_600_000;

  private final FleetView view;

  private final RoundInput input;

  private final ControllerState controllerState;

  /**
   * Creates the rules.
   *
   * @param view the fleet in this round
   * @param input the inputs of this round
   * @param controllerState state that the leader keeps between rounds
   */
  PhaseRules(final FleetView view, final RoundInput input, final ControllerState controllerState) {
    this.view = view;
    this.input = input;
    this.controllerState = controllerState;
  }

  /** Applies the rules to all VMs and adds new VMs. */
  void apply() {
    for (final VmEntry vm : List.copyOf(view.vms().values())) {
      final PhaseObservation phaseObservation = controllerState.phase(vm.vm());
      // Observations from before the current phase prove nothing about it.
      final boolean phaseObserved =
          phaseObservation != null && phaseObservation.phase() == vm.phase();
      if (view.hasPlatformList() && !applyPlatformList(vm) && phaseObserved) {
        advance(vm);
      }
    }
    for (final VmObservation observed : view.observations()) {
      if (observed.state() == VmState.LIVE && !view.vms().containsKey(observed.vm())) {
        final VmEntry added =
            VmEntry.inService(
                observed.vm(),
                observed.address(),
                observed.availabilityZone(),
                observed.rack(),
                observed.pool(),
                observed.bootGeneration(),
                view.nowMillis());
        put(added.withPhase(VmPhase.VERIFYING, view.nowMillis()));
      }
    }
  }

  /**
   * Applies what the platform's list shows about the existence of a VM; returns whether the entry
   * changed.
   */
  private boolean applyPlatformList(final VmEntry vm) {
    final VmObservation observed = view.observation(vm.vm());
    final long missing = controllerState.missingMillis(vm.vm(), observed != null, view.nowMillis());
    final boolean gone =
        observed == null ? missing >= MISSING_MILLIS : observed.state() == VmState.GONE;
    boolean result = true;
    if (vm.phase() == VmPhase.LOST) {
      handleLost(vm, observed);
    } else if (gone && (vm.phase() != VmPhase.REBOOTING || age(vm) >= REBOOT_MISSING_MILLIS)) {
      enter(VmChanges.retarget(vm, DrainPurpose.LEAVING, "", vm.wave()), VmPhase.LOST);
    } else if (observed != null && observed.state() != VmState.GONE) {
      result = handleBoot(vm, observed) || handleLeaving(vm, observed);
    }
    return result;
  }

  private void handleLost(final VmEntry vm, final VmObservation observed) {
    if (observed != null && observed.state() == VmState.LIVE) {
      enter(VmChanges.booted(vm, observed), VmPhase.VERIFYING);
    } else if (age(vm) >= FORGET_MILLIS) {
      view.vms().remove(vm.vm());
    }
  }

  private boolean handleBoot(final VmEntry vm, final VmObservation observed) {
    final boolean result = observed.bootGeneration() > vm.bootGeneration();
    if (result) {
      final VmEntry rebooted = VmChanges.booted(vm, observed);
      switch (vm.phase()) {
        case REBOOTING -> enter(rebooted, VmPhase.VERIFYING);
        case IN_SERVICE ->
            enter(VmChanges.retarget(rebooted, DrainPurpose.LEAVING, "", ""), VmPhase.VERIFYING);
        // A VM that rebooted by itself no longer drains, so it is not known to be idle.
        case STOPPED -> enter(rebooted, VmPhase.DRAINING);
        default -> put(rebooted);
      }
    }
    return result;
  }

  private boolean handleLeaving(final VmEntry vm, final VmObservation observed) {
    final boolean leaving = observed.state() == VmState.LEAVING;
    final boolean markedLeaving = vm.purpose() == DrainPurpose.LEAVING;
    boolean result = true;
    if (leaving && (vm.phase() == VmPhase.IN_SERVICE || vm.phase() == VmPhase.VERIFYING)) {
      view.forceDrain(vm.vm(), DrainPurpose.LEAVING, "", vm.wave());
    } else if (leaving && !markedLeaving && vm.phase() != VmPhase.REBOOTING) {
      put(VmChanges.retarget(vm, DrainPurpose.LEAVING, "", vm.wave()));
    } else if (!leaving
        && markedLeaving
        && (vm.phase() == VmPhase.DRAINING
            || vm.phase() == VmPhase.STOPPED
            || vm.phase() == VmPhase.HELD)) {
      enter(vm, VmPhase.VERIFYING);
    } else {
      result = false;
    }
    return result;
  }

  private void advance(final VmEntry vm) {
    switch (vm.phase()) {
      case DRAINING -> {
        if (view.hasReportingDaemon(vm) && confirmedByDaemons(vm) && idleOnPlatform(vm)) {
          enter(vm, VmPhase.STOPPED);
        }
      }
      case STOPPED -> handleStopped(vm);
      case VERIFYING -> verify(vm);
      default -> {
        // The other phases end when the platform's list or the records change.
      }
    }
  }

  private void handleStopped(final VmEntry vm) {
    switch (vm.purpose()) {
      case OPERATOR -> enter(vm, VmPhase.HELD);
      case MAINTENANCE -> {
        if (view.hasReportingDaemon(vm) && idleOnPlatform(vm)) {
          enter(vm, VmPhase.REBOOTING);
        }
      }
      case MOVE -> completeMove(vm);
      default -> {
        // A leaving VM stays stopped until it is gone.
      }
    }
  }

  private void completeMove(final VmEntry vm) {
    final PoolSpec target = view.records().pools().get(vm.targetPool());
    if (target == null) {
      enter(VmChanges.retarget(vm, DrainPurpose.OPERATOR, "", ""), VmPhase.VERIFYING);
    } else {
      put(VmChanges.moved(vm, view.nowMillis()));
    }
  }

  private void verify(final VmEntry vm) {
    final VmObservation observed = view.observation(vm.vm());
    final PhaseObservation phaseObservation = controllerState.phase(vm.vm());
    int responses = input.probed().getOrDefault(vm.vm(), 0);
    for (final ReceivedReport received : input.reports()) {
      if (received.report().fleetRevision() >= phaseObservation.revision()) {
        responses += received.report().responses().getOrDefault(vm.vm(), 0);
      }
    }
    controllerState.recordResponses(vm.vm(), responses, view.nowMillis());
    // The list must show the end of the drain, so that no later drain is mistaken for this one.
    if (responses >= RESPONSES_TO_VERIFY
        && observed != null
        && !observed.draining()
        && observed.bootGeneration() == vm.bootGeneration()) {
      put(VmChanges.returned(vm, view.nowMillis()));
    }
  }

  /**
   * Returns whether every reporting daemon has confirmed that it has nothing in flight to the VM.
   */
  private boolean confirmedByDaemons(final VmEntry vm) {
    final long revision = controllerState.phase(vm.vm()).revision();
    boolean result = true;
    for (final ReceivedReport received : input.reports()) {
      result =
          result
              && (!received.isRecent()
                  || received.report().fleetRevision() >= revision
                      && received.report().inFlight().getOrDefault(vm.vm(), 0) == 0);
    }
    return result;
  }

  /** Returns whether the platform reports the current boot of the VM as draining and idle. */
  private boolean idleOnPlatform(final VmEntry vm) {
    final VmObservation observed = view.observation(vm.vm());
    return observed != null
        && observed.bootGeneration() == vm.bootGeneration()
        && observed.draining()
        && observed.running() == 0;
  }

  private long age(final VmEntry vm) {
    return view.nowMillis() - vm.sinceMillis();
  }

  private void enter(final VmEntry vm, final VmPhase phase) {
    put(vm.withPhase(phase, view.nowMillis()));
  }

  private void put(final VmEntry vm) {
    view.vms().put(vm.vm(), vm);
  }
}
