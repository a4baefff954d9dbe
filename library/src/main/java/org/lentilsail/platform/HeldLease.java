package org.lentilsail.platform;

/**
 * A lease that is held.
 *
 * @param id id of the lease
 * @param untilNanos monotonic time up to which it is surely held
 */
record HeldLease(String id, long validUntilNanos) {}
