package org.lentilsail.peer;

/** Gives what this daemon's heartbeats report; callable from every thread. */
public interface PeerStatus {
  /**
   * Returns the revision of the configuration snapshot.
   *
   * @return the revision, 0 without a snapshot
   */
  long snapshotRevision();

  /**
   * Tells whether the platform answers this daemon.
   *
   * @return whether it does
   */
  boolean platformConnected();
}
