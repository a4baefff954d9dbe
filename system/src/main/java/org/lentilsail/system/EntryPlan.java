package org.lentilsail.system;

/**
 * One entry daemon of a deployment.
 *
 * @param id id of the daemon
 * @param availabilityZone availability zone of the daemon
 */
record EntryPlan(String id, String availabilityZone) {}
