package org.lentilsail.peer;

/** Supplies the content of this daemon's heartbeats; callable from every thread. */
public interface PeerStatus {
  /**
   * Returns the revision of the configuration snapshot.
   *
   * @return the revision, 0 without a snapshot
   */
  long snapshotRevision();

  /**
   * Returns whether the platform answers this daemon.
   *
   * @return whether it does
   */
  boolean platformConnected();
}
