package org.lentilsail.idempotency;

/**
 * Cached response that counts towards the memory limit.
 *
 * @param entry entry of the key
 * @param bytes size of the body in bytes
 */
record CachedResponse(KeyEntry entry, int bytes) {}
