package org.lentilsail.worker;

/**
 * Requests the status report of a worker, renews the lease of its runs and acknowledges finished
 * runs.
 *
 * @param leaseExpiryMillis new expiry of the lease in ms on the worker's clock, 0 to leave it
 *     unchanged
 * @param token fencing token of the leader
 * @param acknowledgedSequence sequence number of the last finished run that the worker may discard
 * @param waitMillis maximum time in ms that the worker may wait for a run to finish before it
 *     responds
 */
public record PollRequest(
    long leaseExpiryMillis, long token, long acknowledgedSequence, long waitMillis) {}
