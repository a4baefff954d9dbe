package org.lentilsail.model.job;

/**
 * Describes a service, which is a pool of machines.
 *
 * @param name name of the service
 * @param guardsCapacity whether its workers reject what does not fit
 * @param spare whether its machines are switched off
 */
public record ServiceSpec(String name, boolean enforcesCapacity, boolean spare) {}
