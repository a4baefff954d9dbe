package org.lentilsail.peer;

/** Receives the revision of the sender's configuration with each heartbeat. */
@FunctionalInterface
public interface HeartbeatListener {
  /**
   * Handles a heartbeat on the peer network's I/O thread.
   *
   * @param peer id of the sender
   * @param snapshotRevision revision of the sender's configuration snapshot
   */
  void heartbeatReceived(String peer, long snapshotRevision);
}
