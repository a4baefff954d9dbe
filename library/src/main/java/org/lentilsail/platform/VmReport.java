package org.lentilsail.platform;

/**
 * One VM in the platform's list, which lags.
 *
 * @param vm name of the VM
 * @param role {@code worker} or {@code entry}
 * @param address IP address and port of its backend server or entry daemon, as {@code host:port}
 * @param availabilityZone availability zone of the VM
 * @param rack rack of the VM
 * @param pool pool in which the platform first started the VM; control decides about it afterwards
 * @param state {@code live}, {@code leaving} or {@code gone}
 * @param draining whether the platform drains the VM
 * @param running requests that run on the VM
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
