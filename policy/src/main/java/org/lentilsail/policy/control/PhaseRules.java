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

/** Carries each VM on by at most one phase according to what is observed about it. */
final class PhaseRules {
  /** Responses after which a VM that verifies is in service. */
  private static final int RESPONSES_TO_VERIFY = 3;

  /** Time in ms a VM must be missing in the list; a truncated list must not cost capacity. */
  private static final long MISSING_MILLIS = 5_000;

  /** Time in ms a rebooting VM may be missing in the list before it counts as lost. */
  private static final long REBOOT_MISSING_MILLIS = 300_000;

  /**
   * Time in ms after which a lost VM is forgotten, so that it no longer spends its pool's budget.
   */
  private static final long FORGET_MILLIS = 3_600_000;

  /** The fleet in this round. */
  private final FleetView view;

  /** The inputs of this round. */
  private final RoundInput input;

  /** What the holder remembers. */
  private final ControllerState memory;

  /**
   * Creates the rules.
   *
   * @param view the fleet in this round
   * @param input the inputs of this round
   * @param memory what the holder remembers
   */
  PhaseRules(final FleetView view, final RoundInput input, final ControllerState memory) {
    this.view = view;
    this.input = input;
    this.memory = memory;
  }

  /** Applies the rules to all VMs and lets new VMs join. */
  void apply() {
    for (final VmEntry vm : List.copyOf(view.vms().values())) {
      final PhaseObservation mark = memory.phase(vm.vm());
      // What was observed before the present phase proves nothing about it.
      final boolean settled = mark != null && mark.phase() == vm.phase();
      if (view.hasPlatformList() && !presence(vm) && settled) {
        step(vm);
      }
    }
    for (final VmObservation seen : view.observations()) {
      if (seen.state() == VmState.LIVE && !view.vms().containsKey(seen.vm())) {
        final VmEntry joined =
            VmEntry.inService(
                seen.vm(),
                seen.address(),
                seen.availabilityZone(),
                seen.rack(),
                seen.pool(),
                seen.bootGeneration(),
                view.nowMillis());
        put(joined.withPhase(VmPhase.VERIFYING, view.nowMillis()));
      }
    }
  }

  /** Applies what the platform's list says about the existence of a VM; true when it changed. */
  private boolean presence(final VmEntry vm) {
    final VmObservation seen = view.observation(vm.vm());
    final long missing = memory.missingMillis(vm.vm(), seen != null, view.nowMillis());
    final boolean gone = seen == null ? missing >= MISSING_MILLIS : seen.state() == VmState.GONE;
    boolean result = true;
    if (vm.phase() == VmPhase.LOST) {
      lost(vm, seen);
    } else if (gone && (vm.phase() != VmPhase.REBOOTING || age(vm) >= REBOOT_MISSING_MILLIS)) {
      enter(VmChanges.retarget(vm, DrainPurpose.LEAVING, "", vm.wave()), VmPhase.LOST);
    } else if (seen != null && seen.state() != VmState.GONE) {
      result = booted(vm, seen) || leaving(vm, seen);
    }
    return result;
  }

  private void lost(final VmEntry vm, final VmObservation seen) {
    if (seen != null && seen.state() == VmState.LIVE) {
      enter(VmChanges.booted(vm, seen), VmPhase.VERIFYING);
    } else if (age(vm) >= FORGET_MILLIS) {
      view.vms().remove(vm.vm());
    }
  }

  private boolean booted(final VmEntry vm, final VmObservation seen) {
    final boolean result = seen.bootGeneration() > vm.bootGeneration();
    if (result) {
      final VmEntry now = VmChanges.booted(vm, seen);
      switch (vm.phase()) {
        case REBOOTING -> enter(now, VmPhase.VERIFYING);
        case IN_SERVICE ->
            enter(VmChanges.retarget(now, DrainPurpose.LEAVING, "", ""), VmPhase.VERIFYING);
        // A VM that booted by itself no longer drains, so nothing about its work is proved.
        case STOPPED -> enter(now, VmPhase.DRAINING);
        default -> put(now);
      }
    }
    return result;
  }

  private boolean leaving(final VmEntry vm, final VmObservation seen) {
    final boolean leaving = seen.state() == VmState.LEAVING;
    final boolean known = vm.purpose() == DrainPurpose.LEAVING;
    boolean result = true;
    if (leaving && (vm.phase() == VmPhase.IN_SERVICE || vm.phase() == VmPhase.VERIFYING)) {
      view.forceDrain(vm.vm(), DrainPurpose.LEAVING, "", vm.wave());
    } else if (leaving && !known && vm.phase() != VmPhase.REBOOTING) {
      put(VmChanges.retarget(vm, DrainPurpose.LEAVING, "", vm.wave()));
    } else if (!leaving
        && known
        && (vm.phase() == VmPhase.DRAINING
            || vm.phase() == VmPhase.STOPPED
            || vm.phase() == VmPhase.HELD)) {
      enter(vm, VmPhase.VERIFYING);
    } else {
      result = false;
    }
    return result;
  }

  private void step(final VmEntry vm) {
    switch (vm.phase()) {
      case DRAINING -> {
        if (view.hasReportingDaemon(vm) && confirmed(vm) && idle(vm)) {
          enter(vm, VmPhase.STOPPED);
        }
      }
      case STOPPED -> stopped(vm);
      case VERIFYING -> verify(vm);
      default -> {
        // The other phases end by what the platform's list or the records say.
      }
    }
  }

  private void stopped(final VmEntry vm) {
    switch (vm.purpose()) {
      case OPERATOR -> enter(vm, VmPhase.HELD);
      case MAINTENANCE -> {
        if (view.hasReportingDaemon(vm) && idle(vm)) {
          enter(vm, VmPhase.REBOOTING);
        }
      }
      case MOVE -> move(vm);
      default -> {
        // A leaving VM stays stopped until it is gone.
      }
    }
  }

  private void move(final VmEntry vm) {
    final PoolSpec target = view.records().pools().get(vm.targetPool());
    if (target == null) {
      enter(VmChanges.retarget(vm, DrainPurpose.OPERATOR, "", ""), VmPhase.VERIFYING);
    } else {
      put(VmChanges.moved(vm, view.nowMillis()));
    }
  }

  private void verify(final VmEntry vm) {
    final VmObservation seen = view.observation(vm.vm());
    final PhaseObservation mark = memory.phase(vm.vm());
    int responses = input.probed().getOrDefault(vm.vm(), 0);
    for (final ReceivedReport heard : input.reports()) {
      if (heard.report().fleetRevision() >= mark.revision()) {
        responses += heard.report().responses().getOrDefault(vm.vm(), 0);
      }
    }
    memory.recordResponses(vm.vm(), responses, view.nowMillis());
    // The list must show the end of the drain, so that no later drain is taken for this one.
    if (responses >= RESPONSES_TO_VERIFY
        && seen != null
        && !seen.draining()
        && seen.bootGeneration() == vm.bootGeneration()) {
      put(VmChanges.returned(vm, view.nowMillis()));
    }
  }

  /** Tells whether every daemon that is heard has confirmed that it has nothing in flight. */
  private boolean confirmed(final VmEntry vm) {
    final long revision = memory.phase(vm.vm()).revision();
    boolean result = true;
    for (final ReceivedReport heard : input.reports()) {
      result =
          result
              && (!heard.isRecent()
                  || heard.report().fleetRevision() >= revision
                      && heard.report().inFlight().getOrDefault(vm.vm(), 0) == 0);
    }
    return result;
  }

  /** Tells whether the platform reports the present boot of the VM as draining and idle. */
  private boolean idle(final VmEntry vm) {
    final VmObservation seen = view.observation(vm.vm());
    return seen != null
        && seen.bootGeneration() == vm.bootGeneration()
        && seen.draining()
        && seen.running() == 0;
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
