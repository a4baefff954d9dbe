package org.lentilsail.policy.dispatch;

/**
 * Identifies a demand for a slot across daemons.
 *
 * @param daemon id of the daemon that asks
 * @param number number that the daemon uses once
 */
public record DispatchRequestId(String daemon, long number) {}
