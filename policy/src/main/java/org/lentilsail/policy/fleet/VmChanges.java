package org.lentilsail.policy.fleet;

import org.lentilsail.model.fleet.DrainPurpose;
import org.lentilsail.model.fleet.VmEntry;
import org.lentilsail.model.fleet.VmPhase;

/** Derives changed copies of VM entries. */
public final class VmChanges {
  private VmChanges() {}

  /**
   * Returns a VM with another purpose, target and wave in the same phase.
   *
   * @param vm the VM
   * @param purpose why the VM is out of service
   * @param targetPool pool that the VM moves to, empty without a move
   * @param wave wave that the VM takes part in, empty without one
   * @return the changed entry
   */
  public static VmEntry retarget(
      final VmEntry vm, final DrainPurpose purpose, final String targetPool, final String wave) {
    return copy(vm, vm.pool(), vm.phase(), purpose, targetPool, wave, vm.sinceMillis());
  }

  /**
   * Returns a VM that starts to drain.
   *
   * @param vm the VM
   * @param purpose why the VM is drained
   * @param targetPool pool that the VM moves to, empty without a move
   * @param wave wave that the VM takes part in, empty without one
   * @param nowMillis wall clock time in ms since the Unix epoch
   * @return the changed entry
   */
  public static VmEntry draining(
      final VmEntry vm,
      final DrainPurpose purpose,
      final String targetPool,
      final String wave,
      final long nowMillis) {
    return copy(vm, vm.pool(), VmPhase.DRAINING, purpose, targetPool, wave, nowMillis);
  }

  /**
   * Returns a VM that verifies in its target pool.
   *
   * @param vm the VM, stopped for a move
   * @param nowMillis wall clock time in ms since the Unix epoch
   * @return the changed entry
   */
  public static VmEntry moved(final VmEntry vm, final long nowMillis) {
    return copy(vm, vm.targetPool(), VmPhase.VERIFYING, vm.purpose(), "", "", nowMillis);
  }

  /**
   * Returns a VM that has returned to service.
   *
   * @param vm the VM
   * @param nowMillis wall clock time in ms since the Unix epoch
   * @return the changed entry
   */
  public static VmEntry returned(final VmEntry vm, final long nowMillis) {
    return copy(vm, vm.pool(), VmPhase.IN_SERVICE, DrainPurpose.NONE, "", "", nowMillis);
  }

  /**
   * Returns a VM with the boot generation and address that the platform reports.
   *
   * @param vm the VM
   * @param observed entry of the VM in the platform's list
   * @return the changed entry
   */
  public static VmEntry booted(final VmEntry vm, final VmObservation observed) {
    return new VmEntry(
        vm.vm(),
        observed.address(),
        observed.availabilityZone(),
        observed.rack(),
        vm.pool(),
        vm.phase(),
        vm.purpose(),
        vm.targetPool(),
        vm.wave(),
        observed.bootGeneration(),
        vm.sinceMillis());
  }

  private static VmEntry copy(
      final VmEntry vm,
      final String pool,
      final VmPhase phase,
      final DrainPurpose purpose,
      final String targetPool,
      final String wave,
      final long sinceMillis) {
    return new VmEntry(
        vm.vm(),
        vm.address(),
        vm.availabilityZone(),
        vm.rack(),
        pool,
        phase,
        purpose,
        targetPool,
        wave,
        vm.bootGeneration(),
        sinceMillis);
  }
}
