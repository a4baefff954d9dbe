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
 * @param workerSlots requests that run at once on one worker
 * @param requestBodyLimitBytes largest request body in bytes
 * @param responseLimitBytes largest response body in bytes
 * @param headerLimitBytes largest request header in bytes
 * @param drainGraceMillis time in ms between reporting not ready and refusing connections on stop
 * @param keyTermMinutes time in minutes by which a term of idempotency keys reaches ahead
 * @param keyMemoryMinutes time in minutes for which outcomes of keyed requests are kept
 * @param heartbeatMillis time in ms between heartbeats to peers
 * @param controlRoundMillis time in ms between control rounds
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
    int workerSlots,
    int requestBodyLimitBytes,
    int responseLimitBytes,
    int headerLimitBytes,
    int drainGraceMillis,
    int keyTermMinutes,
    int keyMemoryMinutes,
    int heartbeatMillis,
    int controlRoundMillis,
    int controlLeaseMillis,
    int ioThreads,
    WeightSettings weights) {

  /** Copies the list, so that the settings cannot change. */
  public EntrySettings {
    peers = List.copyOf(peers);
  }
}
