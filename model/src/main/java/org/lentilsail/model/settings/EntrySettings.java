package org.lentilsail.model.settings;

import java.util.List;

/**
 * Settings of an entry daemon.
 *
 * @param id id of the daemon, unique in the fleet
 * @param region region of the daemon
 * @param availabilityZone availability zone of the daemon
 * @param callerAddress address to which callers connect
 * @param adminAddress address to which operators connect
 * @param peerAddress address to which other entry daemons connect
 * @param peers the other entry daemons
 * @param platformAddress address of the platform
 * @param drainGraceMillis time in ms on shutdown between reporting not ready and refusing
 *     connections
 * @param keyTermMinutes time in minutes by which the ownership term of a range of idempotency keys
 *     extends into the future
 * @param keyMemoryMinutes time in minutes for which outcomes of keyed requests are retained
 * @param controlLeaseMillis time to live in ms of the control lease
 * @param ioThreads number of I/O threads
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

  /** Copies the list to make the settings immutable. */
  public EntrySettings {
    peers = List.copyOf(peers);
  }
}
