package org.lentilsail.model.record;

/**
 * Describes a pool of VMs.
 *
 * @param name name of the pool
 * @param spare whether other pools take VMs from this pool first
 * @param minimumVms minimum number of VMs that stay in the pool
 * @param maximumVms maximum number of VMs in the pool, 0 for no limit
 * @param team team that owns the pool, may be empty
 */
public record PoolSpec(String name, boolean spare, int minimumVms, int maximumVms, String team) {}
