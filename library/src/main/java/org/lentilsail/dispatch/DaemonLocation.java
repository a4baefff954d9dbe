package org.lentilsail.dispatch;

/**
 * The location of a daemon.
 *
 * @param availabilityZone availability zone of the daemon
 * @param region region of the daemon
 */
public record DaemonLocation(String availabilityZone, String region) {}
