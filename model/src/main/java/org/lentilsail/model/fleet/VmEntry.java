package org.lentilsail.model.fleet;

import java.util.Objects;

/**
 * Describes one VM in the fleet document: its location, its pool, its phase and the reason for it.
 *
 * @param vm name of the VM
 * @param address IP address and port of its backend server, as {@code host:port}
 * @param availabilityZone availability zone of the VM
 * @param rack rack of the VM
 * @param pool the one pool that the VM belongs to
 * @param phase phase of the VM on its way out of service or back
 * @param purpose why the VM is out of service
 * @param targetPool pool that the VM moves to, empty without a move
 * @param wave maintenance wave that the VM takes part in, empty without one
 * @param bootGeneration number of boots of the VM as the platform counts them
 * @param sinceMillis wall clock time of the last change of phase, in ms since the Unix epoch
 */
public record VmEntry(
    String vm,
    String address,
    String availabilityZone,
    String rack,
    String pool,
    VmPhase phase,
    DrainPurpose purpose,
    String targetPool,
    String wave,
    long bootGeneration,
    long sinceMillis) {

  /** Checks that no component is null. */
  public VmEntry {
    Objects.requireNonNull(vm, "vm");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(availabilityZone, "availabilityZone");
    Objects.requireNonNull(rack, "rack");
    Objects.requireNonNull(pool, "pool");
    Objects.requireNonNull(phase, "phase");
    Objects.requireNonNull(purpose, "purpose");
    Objects.requireNonNull(targetPool, "targetPool");
    Objects.requireNonNull(wave, "wave");
  }

  /**
   * Creates a VM that is in service.
   *
   * @param vm name of the VM
   * @param address IP address and port of its backend server
   * @param availabilityZone availability zone of the VM
   * @param rack rack of the VM
   * @param pool pool that the VM belongs to
   * @param bootGeneration number of boots of the VM
   * @param nowMillis wall clock time in ms since the Unix epoch
   * @return the entry of the VM
   */
  public static VmEntry inService(
      final String vm,
      final String address,
      final String availabilityZone,
      final String rack,
      final String pool,
      final long bootGeneration,
      final long nowMillis) {
    return new VmEntry(
        vm,
        address,
        availabilityZone,
        rack,
        pool,
        VmPhase.IN_SERVICE,
        DrainPurpose.NONE,
        "",
        "",
        bootGeneration,
        nowMillis);
  }

  /**
   * Returns this VM in another phase, with the same purpose.
   *
   * @param next the new phase
   * @param nowMillis wall clock time of the change in ms since the Unix epoch
   * @return the changed entry
   */
  public VmEntry withPhase(final VmPhase next, final long nowMillis) {
    return new VmEntry(
        vm,
        address,
        availabilityZone,
        rack,
        pool,
        next,
        purpose,
        targetPool,
        wave,
        bootGeneration,
        nowMillis);
  }
}
