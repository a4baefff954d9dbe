package org.lentilsail.store;

/**
 * A lease granted by the store.
 *
 * @param id id of the lease
 * @param ttlMillis time in ms from the arrival of a renewal at the store until the lease expires
 */
public record GrantedLease(long id, long ttlMillis) {}
