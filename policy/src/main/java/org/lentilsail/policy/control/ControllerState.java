package org.lentilsail.policy.control;

import java.util.HashMap;
import java.util.Map;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.policy.capacity.DemandTracker;

/**
 * In-memory state that the leader keeps between control rounds. None of it is needed for safety: a
 * new leader starts with an empty state, which makes it wait longer or repeat actions.
 */
public final class ControllerState {
  /** Number of recorded actions per VM above which old ones are removed. */
  private static final int ACTIONS_PER_VM = 8;

  /** Age in ms after which a recorded action may be removed; longer than every repeat interval. */
  private static final long FORGET_ACTIONS_MILLIS = 60_000;

  /** Observations about the current phase of each VM. */
  private final Map<String, PhaseObservation> phases = new HashMap<>();

  /** Wall clock time of the last action, by VM and operation. */
  private final Map<String, Long> actions = new HashMap<>();

  /** Wall clock time since which a VM has been missing from the platform's list. */
  private final Map<String, Long> missing = new HashMap<>();

  private final DemandTracker demand = new DemandTracker();

  /**
   * Records the phases in a document.
   *
   * @param document the document
   * @param revision its revision
   * @param nowMillis wall clock time in ms since the Unix epoch
   */
  void observe(final FleetDocument document, final long revision, final long nowMillis) {
    for (final VmEntry vm : document.vms().values()) {
      final PhaseObservation phaseObservation = phases.get(vm.vm());
      if (phaseObservation == null
          || phaseObservation.phase() != vm.phase()
          || phaseObservation.sinceMillis() != vm.sinceMillis()
          || phaseObservation.bootGeneration() != vm.bootGeneration()) {
        phases.put(
            vm.vm(),
            new PhaseObservation(
                vm.phase(), vm.sinceMillis(), vm.bootGeneration(), revision, nowMillis, 0, false));
      }
    }
    phases.keySet().retainAll(document.vms().keySet());
    missing.keySet().retainAll(document.vms().keySet());
    if (actions.size() > ACTIONS_PER_VM * document.vms().size() + ACTIONS_PER_VM) {
      actions.values().removeIf(last -> nowMillis - last > FORGET_ACTIONS_MILLIS);
    }
  }

  /**
   * Returns the observations about the current phase of a VM.
   *
   * @param vm name of the VM
   * @return the observations, null for a VM that was not in the document
   */
  PhaseObservation phase(final String vm) {
    return phases.get(vm);
  }

  /**
   * Records how many responses a verifying VM has given.
   *
   * @param vm name of the VM
   * @param responses number of responses so far
   * @param nowMillis wall clock time in ms since the Unix epoch
   */
  void recordResponses(final String vm, final int responses, final long nowMillis) {
    phases.computeIfPresent(
        vm, (name, phaseObservation) -> phaseObservation.withResponses(responses, nowMillis));
  }

  /**
   * Records that probes are sent to a VM, which then continue until it is in service.
   *
   * @param vm name of the VM
   */
  void recordProbing(final String vm) {
    phases.computeIfPresent(vm, (name, phaseObservation) -> phaseObservation.withProbing());
  }

  /**
   * Returns whether an action is due, and records it in that case.
   *
   * @param key VM and operation
   * @param everyMillis time in ms after which it may be repeated
   * @param nowMillis wall clock time in ms since the Unix epoch
   * @return whether the action is due
   */
  boolean recordIfDue(final String key, final long everyMillis, final long nowMillis) {
    final Long last = actions.get(key);
    final boolean result = last == null || nowMillis - last >= everyMillis;
    if (result) {
      actions.put(key, nowMillis);
    }
    return result;
  }

  /**
   * Records whether the platform's list contains a VM.
   *
   * @param vm name of the VM
   * @param present whether the list contains it
   * @param nowMillis wall clock time in ms since the Unix epoch
   * @return time in ms for which it has been missing
   */
  long missingMillis(final String vm, final boolean present, final long nowMillis) {
    long result = 0;
    if (present) {
      missing.remove(vm);
    } else {
      result = nowMillis - missing.computeIfAbsent(vm, name -> nowMillis);
    }
    return result;
  }

  /**
   * Returns the tracker of the services' demand.
   *
   * @return the tracker
   */
  DemandTracker demand() {
    return demand;
  }
}
