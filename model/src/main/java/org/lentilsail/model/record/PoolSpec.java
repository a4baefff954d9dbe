package org.lentilsail.model.record;

/**
 * Describes a pool of VMs.
 *
 * @param name name of the pool
 * @param spare whether other pools may borrow from this one first
 * @param minimumVms VMs that always stay in the pool
 * @param maximumVms most VMs that the pool may hold, 0 for no limit
 * @param team team that owns the pool, may be empty
 */
public record PoolSpec(String name, boolean spare, int minimumVms, int maximumVms, String team) {}
