package org.lentilsail.peer;

/**
 * First message on each connection; identifies the daemon that opened it.
 *
 * @param id id of the daemon
 * @param incarnation number that differs after each start
 * @param availabilityZone availability zone of the daemon
 * @param region region of the daemon
 * @param host IP address at which the daemon accepts connections
 * @param port port at which the daemon accepts connections
 */
record Hello(
    String id, long incarnation, String availabilityZone, String region, String host, int port)
    implements PeerMessage {}
