package org.lentilsail.jobs;

import org.lentilsail.policy.access.RevocationBounds;

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
 * @param revocation bounds for the removal of keys
 */
public record ControlBounds(
    long maxLeaseMillis,
    long maintenanceMillis,
    long moveMillis,
    long stateRetentionMillis,
    long machineLeaseMillis,
    long minStoreLeaseMillis,
    RevocationBounds revocation) {

  /**
   * Creates limits with the default bounds for the removal of keys.
   *
   * @param maxLeaseMillis longest lease that a worker grants, in ms
   * @param maintenanceMillis duration of the maintenance of a machine, in ms
   * @param moveMillis duration of a machine move, in ms
   * @param stateRetentionMillis time in ms for which the state of a finished job can be queried
   * @param machineLeaseMillis minimum time in ms between commands of different leaders to the same
   *     machine
   * @param minStoreLeaseMillis shortest time to live in ms of a lease that the store grants
   */
  public ControlBounds(
      final long maxLeaseMillis,
      final long maintenanceMillis,
      final long moveMillis,
      final long stateRetentionMillis,
      final long machineLeaseMillis,
      final long minStoreLeaseMillis) {
    this(
        maxLeaseMillis,
        maintenanceMillis,
        moveMillis,
        stateRetentionMillis,
        machineLeaseMillis,
        minStoreLeaseMillis,
        RevocationBounds.DEFAULT);
  }
}
