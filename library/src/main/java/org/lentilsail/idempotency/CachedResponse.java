package org.lentilsail.idempotency;

/**
 * A response that counts towards the memory limit.
 *
 * @param entry entry that keeps it
 * @param bytes bytes of its body
 */
record CachedResponse(KeyEntry entry, int bytes) {}
