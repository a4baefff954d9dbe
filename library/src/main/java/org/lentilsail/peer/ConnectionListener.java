package org.lentilsail.peer;

/** Receives the events of a connection on the event loop's thread. */
interface ConnectionListener {
  /** Reports that a connection that this daemon opened is established. */
  void connected(PeerConnection connection);

  /** Handles a received frame. */
  void frameReceived(PeerConnection connection, byte[] frame);

  /** Reports that the connection is closed. */
  void closed(PeerConnection connection, String reason);
}
