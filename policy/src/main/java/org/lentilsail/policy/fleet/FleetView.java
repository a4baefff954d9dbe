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

/** The fleet during one control round: entries that change, and what is observed about them. */
public final class FleetView {
  /** The operators' records. */
  private final Records records;

  /** Entries by name of the VM, in order of name so that rounds are repeatable. */
  private final TreeMap<String, VmEntry> vms;

  /** The platform's list by name of the VM; empty when there is no list. */
  private final Map<String, VmObservation> observation = new HashMap<>();

  /** Whether the platform's list is known. */
  private final boolean hasPlatformList;

  /** Availability zones from which a daemon is heard. */
  private final Set<String> heardZones = new HashSet<>();

  /** VMs that a dispatcher has withdrawn for failures. */
  private final Set<String> unhealthy = new HashSet<>();

  /** Wall clock time in ms since the Unix epoch. */
  private final long nowMillis;

  /** Availability accounts, opened once the phases of this round are settled. */
  private BudgetTracker budgets;

  /**
   * Creates the view.
   *
   * @param records the operators' records
   * @param document the fleet document
   * @param list the platform's list, empty when it is not known
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
    list.ifPresent(all -> all.forEach(vm -> observation.put(vm.vm(), vm)));
    for (final ReceivedReport heard : reports) {
      if (heard.isRecent()) {
        heardZones.add(heard.report().availabilityZone());
        unhealthy.addAll(heard.report().unhealthyVms());
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
   * Returns the present entries.
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
   * Tells whether the platform's list is known.
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
    return observation.values();
  }

  /**
   * Returns what the platform's list says about a VM.
   *
   * @param vm name of the VM
   * @return the VM in the list, null when it is missing
   */
  public VmObservation observation(final String vm) {
    return observation.get(vm);
  }

  /**
   * Tells whether a daemon is heard from the availability zone of a VM.
   *
   * @param vm the VM
   * @return false when control must leave the VM alone
   */
  public boolean hasReportingDaemon(final VmEntry vm) {
    return heardZones.contains(vm.availabilityZone());
  }

  /**
   * Tells whether a VM serves requests.
   *
   * @param vm the VM
   * @return false when it counts as unavailable
   */
  public boolean available(final VmEntry vm) {
    final VmObservation observed = observation.get(vm.vm());
    return vm.phase() == VmPhase.IN_SERVICE
        && !unhealthy.contains(vm.vm())
        && hasReportingDaemon(vm)
        && (!hasPlatformList || observed != null && observed.state() == VmState.LIVE);
  }

  /**
   * Tells whether a VM counts towards the availability of its pool. A VM that has just come into
   * the pool and has not served it yet takes nothing away from it.
   *
   * @param vm the VM
   * @return false for a newcomer that verifies
   */
  public static boolean isPoolMember(final VmEntry vm) {
    return vm.phase() != VmPhase.VERIFYING
        || vm.purpose() != DrainPurpose.MOVE && vm.purpose() != DrainPurpose.NONE;
  }

  /** Opens the accounts with the entries as they are now. */
  public void initializeBudgets() {
    budgets = new BudgetTracker(records);
    for (final VmEntry vm : vms.values()) {
      if (isPoolMember(vm)) {
        budgets.count(vm, available(vm));
      }
    }
  }

  /**
   * Returns the accounts.
   *
   * @return the accounts of this round
   */
  public BudgetTracker budgets() {
    return budgets;
  }

  /**
   * Starts to drain a VM if it is in service, its zone is heard and the budgets allow it. All
   * planned stops go through this method.
   *
   * @param name name of the VM
   * @param purpose why
   * @param targetPool pool that the VM moves to, empty without a move
   * @param wave wave that takes the VM, empty without one
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
            && observation.get(name) != null
            && observation.get(name).state() == VmState.LIVE
            && budgets.allows(vm, available);
    if (result) {
      forceDrain(name, purpose, targetPool, wave);
    }
    return result;
  }

  /**
   * Starts to drain a VM whatever the budgets say.
   *
   * @param name name of the VM
   * @param purpose why
   * @param targetPool pool that the VM moves to, empty without a move
   * @param wave wave that takes the VM, empty without one
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
