package org.lentilsail.model.settings;

import java.util.List;

/**
 * Settings of an entry daemon.
 *
 * @param id id of the daemon, unique in the fleet
 * @param region region of the daemon
 * @param availabilityZone availability zone of the daemon
 * @param callerAddress where callers connect
 * @param adminAddress where operators connect
 * @param peerAddress where other entry daemons connect
 * @param peers the other entry daemons
 * @param platformAddress address of the platform
 * @param drainGraceMillis time in ms between reporting not ready and refusing connections on stop
 * @param keyTermMinutes time in minutes by which a term of idempotency keys reaches ahead
 * @param keyMemoryMinutes time in minutes for which outcomes of keyed requests are kept
 * @param controlLeaseMillis time to live in ms of the control lease
 * @param ioThreads threads that carry traffic
 * @param weights weights of the policy
 */
public record EntrySettings(
    String id,
    String region,
    String availabilityZone,
    HostPort callerAddress,
    HostPort adminAddress,
    HostPort peerAddress,
    List<PeerSettings> peers,
    HostPort platformAddress,
    int drainGraceMillis,
    int keyTermMinutes,
    int keyMemoryMinutes,
    int controlLeaseMillis,
    int ioThreads,
    WeightSettings weights) {

  /** Copies the list, so that the settings cannot change. */
  public EntrySettings {
    peers = List.copyOf(peers);
  }
}
