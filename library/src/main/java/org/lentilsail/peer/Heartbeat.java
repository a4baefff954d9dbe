package org.lentilsail.peer;

/**
 * Shows that the sender is live.
 *
 * @param snapshotRevision revision of the sender's configuration snapshot
 * @param platformConnected whether the platform answers the sender
 */
record Heartbeat(long snapshotRevision, boolean platformConnected) implements PeerMessage {}
