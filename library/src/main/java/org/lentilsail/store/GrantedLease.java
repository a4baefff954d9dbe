package org.lentilsail.store;

/**
 * A lease of the store.
 *
 * @param id number of the lease
 * @param ttlMillis time in ms from the arrival of a renewal until the lease ends
 */
public record GrantedLease(long id, long ttlMillis) {}
