package org.lentilsail.system;

/**
 * One worker VM of a deployment.
 *
 * @param vm name of the VM
 * @param pool initial pool of the VM
 * @param availabilityZone availability zone of the VM
 * @param rack rack of the VM
 */
record VmPlan(String vm, String pool, String availabilityZone, String rack) {}
