package org.lentilsail.platform;

/**
 * A VM in the platform's list, which may be out of date.
 *
 * @param vm name of the VM
 * @param role {@code worker} or {@code entry}
 * @param address IP address and port of its backend server or entry daemon, as {@code host:port}
 * @param availabilityZone availability zone of the VM
 * @param rack rack of the VM
 * @param pool pool in which the platform started the VM; the fleet document determines the pool
 *     afterwards
 * @param state {@code live}, {@code leaving} or {@code gone}
 * @param draining whether the platform drains the VM
 * @param running number of requests that run on the VM
 * @param bootGeneration number of boots
 */
public record VmReport(
    String vm,
    String role,
    String address,
    String availabilityZone,
    String rack,
    String pool,
    String state,
    boolean draining,
    int running,
    long bootGeneration) {}
