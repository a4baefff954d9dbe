package org.lentilsail.jobs;

/**
 * Limits of the deployment, from the settings.
 *
 * @param maxLeaseMillis longest lease that a worker grants, in ms
 * @param maintenanceMillis duration of the maintenance of a machine, in ms
 * @param moveMillis duration of a machine move, in ms
 * @param stateRetentionMillis time in ms for which the state of a finished job can be queried
 * @param machineLeaseMillis minimum time in ms between commands of different leaders to the same
 *     machine
 * @param minStoreLeaseMillis shortest time to live in ms of a lease that the store grants
 */
public record ControlBounds(
    long maxLeaseMillis,
    long maintenanceMillis,
    long moveMillis,
    long stateRetentionMillis,
    long machineLeaseMillis,
    long minStoreLeaseMillis) {}
