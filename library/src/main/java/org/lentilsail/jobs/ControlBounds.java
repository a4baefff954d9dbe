package org.lentilsail.jobs;

/**
 * Bounds of the deployment, from the settings.
 *
 * @param maxLeaseMillis longest lease that a worker grants, in ms
 * @param upkeepMillis time in ms that the maintenance of a machine takes
 * @param moveMillis time in ms that a move of a machine takes
 * @param keepStateMillis time in ms for which the state of an ended job can be asked for
 * @param machineLeaseMillis time in ms between orders of different holders to one machine
 */
public record ControlBounds(
    long maxLeaseMillis,
    long maintenanceMillis,
    long moveMillis,
    long stateRetentionMillis,
    long machineLeaseMillis) {}
