package org.lentilsail.standin.platform;

/**
 * One VM of the list.
 *
 * @param vm name of the VM
 * @param role {@code worker} or {@code entry}
 * @param address address at which its server listens, as {@code host:port}
 * @param availabilityZone availability zone of the VM
 * @param rack rack of the VM
 * @param pool initial pool of the VM
 */
public record VmSettings(
    String vm, String role, String address, String availabilityZone, String rack, String pool) {
  /** Role of a VM with a backend server. */
  public static final String WORKER = "worker";
}
