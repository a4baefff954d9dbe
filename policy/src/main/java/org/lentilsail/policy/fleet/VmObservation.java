package org.lentilsail.policy.fleet;

/**
 * Describes one backend server VM in the platform's list, which may lag behind the actual state.
 *
 * @param vm name of the VM
 * @param address IP address and port of its backend server
 * @param availabilityZone availability zone of the VM
 * @param rack rack of the VM
 * @param pool pool in which the platform started the VM
 * @param state whether the VM is live, leaving or gone
 * @param draining whether the platform drains the VM
 * @param running requests that run on the VM
 * @param bootGeneration number of boots
 */
public record VmObservation(
    String vm,
    String address,
    String availabilityZone,
    String rack,
    String pool,
    VmState state,
    boolean draining,
    int running,
    long bootGeneration) {}
