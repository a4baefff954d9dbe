package org.lentilsail.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;
import org.lentilsail.platform.PlatformClient;
import org.lentilsail.platform.VmOperation;
import org.lentilsail.policy.control.ControlAction;
import org.lentilsail.policy.control.OperateAction;
import org.lentilsail.policy.control.ProbeAction;
import org.tinylog.Logger;

/** Executes control actions and counts the probes that VMs have answered. */
final class ActionExecutor {
  private final PlatformClient platform;
  private final VmProbe probe;
  private final Executor executor;

  /** Number of answered probes by verification, see {@link #key}. */
  private final Map<String, Integer> answeredProbes = new HashMap<>();

  /** Verifications with a probe in progress; a VM is sent one probe at a time. */
  private final Set<String> inProgress = new HashSet<>();

  /**
   * Creates an executor.
   *
   * @param platform the platform
   * @param probe sends the probes
   * @param executor the control thread
   */
  ActionExecutor(final PlatformClient platform, final VmProbe probe, final Executor executor) {
    this.platform = platform;
    this.probe = probe;
    this.executor = executor;
  }

  /**
   * Executes actions while this daemon is the leader. A failed action is repeated by a later round.
   *
   * @param actions the actions
   * @param document the fleet document that was last written
   * @param isLeader returns whether this daemon is still the leader
   */
  void execute(
      final List<ControlAction> actions,
      final FleetDocument document,
      final BooleanSupplier isLeader) {
    for (final ControlAction action : actions) {
      if (!isLeader.getAsBoolean()) {
        break;
      }
      if (action instanceof OperateAction operateAction) {
        operate(operateAction);
      } else if (action instanceof ProbeAction probeAction) {
        sendProbe(probeAction, key(document.vms().get(probeAction.vm())));
      }
    }
  }

  private void operate(final OperateAction action) {
    platform
        .operate(
            action.vm(), VmOperation.valueOf(action.operation().name()), action.bootGeneration())
        .whenComplete(
            (done, failure) -> {
              if (failure != null || !done) {
                Logger.info(
                    "control: {} of VM {} at boot generation {} failed or had no effect: {}",
                    action.operation(),
                    action.vm(),
                    action.bootGeneration(),
                    failure == null ? "the VM has another boot generation" : failure.getMessage());
              }
            });
  }

  private void sendProbe(final ProbeAction action, final String key) {
    if (inProgress.add(key)) {
      probe
          .probe(action.address(), action.path())
          .whenCompleteAsync(
              (ok, failure) -> {
                inProgress.remove(key);
                if (failure == null && ok) {
                  answeredProbes.merge(key, 1, Integer::sum);
                }
              },
              executor);
    }
  }

  /**
   * Returns the answered probes of the VMs that are verifying, and discards the others.
   *
   * @param document the fleet document
   * @return the number of answered probes by VM
   */
  Map<String, Integer> answeredProbes(final FleetDocument document) {
    final Map<String, Integer> result = new HashMap<>();
    final Set<String> verifying = new HashSet<>();
    for (final VmEntry vm : document.vms().values()) {
      if (vm.phase() == VmPhase.VERIFYING) {
        verifying.add(key(vm));
        result.put(vm.vm(), answeredProbes.getOrDefault(key(vm), 0));
      }
    }
    answeredProbes.keySet().retainAll(verifying);
    return result;
  }

  /** Identifies one verification of a VM. */
  private static String key(final VmEntry vm) {
    return vm.vm() + "/" + vm.bootGeneration() + "/" + vm.sinceMillis();
  }
}
