package org.lentilsail.peer;

/** Learns from each heartbeat how far the sender's configuration reaches. */
@FunctionalInterface
public interface HeartbeatListener {
  /**
   * Takes note of a heartbeat on the peer network's I/O thread.
   *
   * @param peer id of the sender
   * @param snapshotRevision revision of the sender's configuration snapshot
   */
  void heartbeatReceived(String peer, long snapshotRevision);
}
