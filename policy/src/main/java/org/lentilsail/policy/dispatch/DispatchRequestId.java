package org.lentilsail.policy.dispatch;

/**
 * Identifies a request for a slot across daemons.
 *
 * @param daemon id of the daemon that sends the request
 * @param number number that is unique within the daemon
 */
public record DispatchRequestId(String daemon, long number) {}
