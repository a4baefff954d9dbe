package org.lentilsail.worker;

/**
 * Asks a worker for its lists, renews the lease of its runs and acknowledges ends.
 *
 * @param untilMillis new expiry of the lease on the worker's clock, 0 to leave it
 * @param token fencing token of the holder
 * @param endsKept number of the last end that may be forgotten
 * @param waitMillis how long the worker may wait for an end before it answers, in ms
 */
public record PollRequest(
    long leaseExpiryMillis, long token, long acknowledgedSequence, long waitMillis) {}
