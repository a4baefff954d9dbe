package org.lentilsail.platform;

/**
 * A lease held by this daemon.
 *
 * @param id id of the lease
 * @param validUntilNanos monotonic time until which the lease is known to be valid
 */
record HeldLease(String id, long validUntilNanos) {}
