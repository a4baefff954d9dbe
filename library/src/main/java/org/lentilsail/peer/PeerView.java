package org.lentilsail.peer;

/**
 * What is known about another daemon.
 *
 * @param id id of the daemon
 * @param incarnation number that is different after each start
 * @param availabilityZone availability zone of the daemon
 * @param region region of the daemon
 * @param live whether it has been heard recently
 * @param platformConnected whether it reports a working platform connection
 * @param silentMillis time in ms since it was last heard
 */
public record PeerView(
    String id,
    long incarnation,
    String availabilityZone,
    String region,
    boolean live,
    boolean platformConnected,
    long silentMillis) {}
