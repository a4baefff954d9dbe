package org.lentilsail.model.job;

/**
 * Configuration of a service and its pool of machines.
 *
 * @param name name of the service
 * @param enforcesCapacity whether its workers reject tasks that exceed their capacity
 * @param spare whether it is a spare pool, whose machines are switched off
 */
public record ServiceSpec(String name, boolean enforcesCapacity, boolean spare) {}
