package org.lentilsail.dispatch;

/**
 * Tells where a daemon runs.
 *
 * @param availabilityZone availability zone of the daemon
 * @param region region of the daemon
 */
public record DaemonLocation(String availabilityZone, String region) {}
