package org.lentilsail.policy.control;

import java.util.HashMap;
import java.util.Map;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.policy.capacity.DemandTracker;

/**
 * What a holder of control remembers between rounds. None of it is needed for safety: a new holder
 * starts with an empty memory, which makes it wait longer or repeat actions.
 */
public final class ControllerState {
  /** Remembered actions per VM above which old ones are dropped. */
  private static final int ACTIONS_PER_VM = 8;

  /** Age in ms after which a remembered action may be dropped; above every repeat interval. */
  private static final long FORGET_ACTIONS_MILLIS = 60_000;

  /** First revision of the document in which this holder saw a VM in its present phase. */
  private final Map<String, PhaseObservation> phases = new HashMap<>();

  /** Wall clock time of the last action, by VM and operation. */
  private final Map<String, Long> actions = new HashMap<>();

  /** Wall clock time since which a VM has been missing in the platform's list. */
  private final Map<String, Long> missing = new HashMap<>();

  /** Demand of the services. */
  private final DemandTracker demand = new DemandTracker();

  /**
   * Notes the phases in a document.
   *
   * @param document the document
   * @param revision its revision
   * @param nowMillis wall clock time in ms since the Unix epoch
   */
  void observe(final FleetDocument document, final long revision, final long nowMillis) {
    for (final VmEntry vm : document.vms().values()) {
      final PhaseObservation mark = phases.get(vm.vm());
      if (mark == null
          || mark.phase() != vm.phase()
          || mark.sinceMillis() != vm.sinceMillis()
          || mark.bootGeneration() != vm.bootGeneration()) {
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
   * Returns what is remembered about the present phase of a VM.
   *
   * @param vm name of the VM
   * @return the mark, null for a VM that was not in the document
   */
  PhaseObservation phase(final String vm) {
    return phases.get(vm);
  }

  /**
   * Notes how many responses a verifying VM has given.
   *
   * @param vm name of the VM
   * @param responses the number
   * @param nowMillis wall clock time in ms since the Unix epoch
   */
  void recordResponses(final String vm, final int responses, final long nowMillis) {
    phases.computeIfPresent(vm, (name, mark) -> mark.withResponses(responses, nowMillis));
  }

  /**
   * Notes that probes are sent to a VM, which then go on until it is in service.
   *
   * @param vm name of the VM
   */
  void recordProbing(final String vm) {
    phases.computeIfPresent(vm, (name, mark) -> mark.withProbing());
  }

  /**
   * Tells whether an action is due, and notes it if it is.
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
   * Notes whether the platform's list has a VM.
   *
   * @param vm name of the VM
   * @param present whether the list has it
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
   * Returns what is remembered about demand.
   *
   * @return the demand of the services
   */
  DemandTracker demand() {
    return demand;
  }
}
