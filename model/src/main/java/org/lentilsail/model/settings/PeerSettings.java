package org.lentilsail.model.settings;

/**
 * Settings of a connection to another entry daemon.
 *
 * @param id id of the daemon
 * @param address its peer address
 * @param availabilityZone its availability zone
 */
public record PeerSettings(String id, HostPort address, String availabilityZone) {}
