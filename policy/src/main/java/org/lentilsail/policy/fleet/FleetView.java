package org.lentilsail.policy.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.lentilsail.model.fleet.DrainPurpose;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;
import org.lentilsail.model.record.Records;

/** The fleet during one control round: mutable entries, and the observations about them. */
public final class FleetView {
  private final Records records;

  /** Entries by name of the VM, in order of name so that rounds are deterministic. */
  private final TreeMap<String, VmEntry> vms;

  /** The platform's list by name of the VM; empty when there is no list. */
  private final Map<String, VmObservation> observationsByVm = new HashMap<>();

  /** Whether the platform's list is available. */
  private final boolean hasPlatformList;

  /** Availability zones with a reporting daemon. */
  private final Set<String> reportingZones = new HashSet<>();

  /** VMs that a dispatcher has withdrawn for failures. */
  private final Set<String> unhealthy = new HashSet<>();

  /** Wall clock time in ms since the Unix epoch. */
  private final long nowMillis;

  /** Availability budgets, initialised once the phases of this round are determined. */
  private BudgetTracker budgets;

  /**
   * Creates the view.
   *
   * @param records the operators' records
   * @param document the fleet document
   * @param list the platform's list, empty when it is unavailable
   * @param reports the daemons' last reports
   * @param nowMillis wall clock time in ms since the Unix epoch
   */
  public FleetView(
      final Records records,
      final FleetDocument document,
      final Optional<List<VmObservation>> list,
      final List<ReceivedReport> reports,
      final long nowMillis) {
    this.records = records;
    this.vms = new TreeMap<>(document.vms());
    this.hasPlatformList = list.isPresent();
    this.nowMillis = nowMillis;
    list.ifPresent(all -> all.forEach(vm -> observationsByVm.put(vm.vm(), vm)));
    for (final ReceivedReport received : reports) {
      if (received.isRecent()) {
        reportingZones.add(received.report().availabilityZone());
        unhealthy.addAll(received.report().unhealthyVms());
      }
    }
  }

  /**
   * Returns the operators' records.
   *
   * @return the records
   */
  public Records records() {
    return records;
  }

  /**
   * Returns the current entries, which rules replace during the round.
   *
   * @return the entries by name, in order of name
   */
  public TreeMap<String, VmEntry> vms() {
    return vms;
  }

  /**
   * Returns the wall clock time of the round.
   *
   * @return ms since the Unix epoch
   */
  public long nowMillis() {
    return nowMillis;
  }

  /**
   * Returns whether the platform's list is available.
   *
   * @return false when nothing can be concluded from a VM that is not in it
   */
  public boolean hasPlatformList() {
    return hasPlatformList;
  }

  /**
   * Returns all VMs in the platform's list.
   *
   * @return the VMs, in no order
   */
  public Iterable<VmObservation> observations() {
    return observationsByVm.values();
  }

  /**
   * Returns what the platform's list says about a VM.
   *
   * @param vm name of the VM
   * @return the VM in the list, null when it is missing
   */
  public VmObservation observation(final String vm) {
    return observationsByVm.get(vm);
  }

  /**
   * Returns whether a daemon in the availability zone of a VM has reported recently.
   *
   * @param vm the VM
   * @return false when the leader must not change the VM
   */
  public boolean hasReportingDaemon(final VmEntry vm) {
    return reportingZones.contains(vm.availabilityZone());
  }

  /**
   * Returns whether a VM serves requests.
   *
   * @param vm the VM
   * @return false when it counts as unavailable
   */
  public boolean available(final VmEntry vm) {
    final VmObservation observed = observationsByVm.get(vm.vm());
    return vm.phase() == VmPhase.IN_SERVICE
        && !unhealthy.contains(vm.vm())
        && hasReportingDaemon(vm)
        && (!hasPlatformList || observed != null && observed.state() == VmState.LIVE);
  }

  /**
   * Returns whether a VM counts towards the availability of its pool. A VM that has just joined the
   * pool and has not served it yet does not reduce its availability.
   *
   * @param vm the VM
   * @return false for a new VM that still verifies
   */
  public static boolean isPoolMember(final VmEntry vm) {
    return vm.phase() != VmPhase.VERIFYING
        || vm.purpose() != DrainPurpose.MOVE && vm.purpose() != DrainPurpose.NONE;
  }

  /** Initialises the availability budgets from the current entries. */
  public void initializeBudgets() {
    budgets = new BudgetTracker(records);
    for (final VmEntry vm : vms.values()) {
      if (isPoolMember(vm)) {
        budgets.count(vm, available(vm));
      }
    }
  }

  /**
   * Returns the availability budgets.
   *
   * @return the budgets of this round, null before they are initialised
   */
  public BudgetTracker budgets() {
    return budgets;
  }

  /**
   * Starts to drain a VM if it is in service, its zone has a reporting daemon and the budgets allow
   * it. All planned drains go through this method.
   *
   * @param name name of the VM
   * @param purpose reason for the drain
   * @param targetPool pool that the VM moves to, empty without a move
   * @param wave wave that drains the VM, empty without one
   * @return whether the VM drains now
   */
  public boolean tryDrain(
      final String name, final DrainPurpose purpose, final String targetPool, final String wave) {
    final VmEntry vm = vms.get(name);
    final boolean available = available(vm);
    final boolean result =
        hasPlatformList
            && vm.phase() == VmPhase.IN_SERVICE
            && hasReportingDaemon(vm)
            && observationsByVm.get(name) != null
            && observationsByVm.get(name).state() == VmState.LIVE
            && budgets.allows(vm, available);
    if (result) {
      forceDrain(name, purpose, targetPool, wave);
    }
    return result;
  }

  /**
   * Starts to drain a VM regardless of the budgets.
   *
   * @param name name of the VM
   * @param purpose reason for the drain
   * @param targetPool pool that the VM moves to, empty without a move
   * @param wave wave that drains the VM, empty without one
   */
  public void forceDrain(
      final String name, final DrainPurpose purpose, final String targetPool, final String wave) {
    final VmEntry vm = vms.get(name);
    if (budgets != null && available(vm)) {
      budgets.markUnavailable(vm);
    }
    vms.put(name, VmChanges.draining(vm, purpose, targetPool, wave, nowMillis));
  }
}
