package org.lentilsail.peer;

/**
 * Snapshot of the known state of another daemon.
 *
 * @param id id of the daemon
 * @param incarnation number that differs after each start
 * @param availabilityZone availability zone of the daemon
 * @param region region of the daemon
 * @param live whether a message was received from it recently
 * @param platformConnected whether it reports that the platform answers it
 * @param silentMillis time in ms since the last message from it
 */
public record PeerView(
    String id,
    long incarnation,
    String availabilityZone,
    String region,
    boolean live,
    boolean platformConnected,
    long silentMillis) {}
