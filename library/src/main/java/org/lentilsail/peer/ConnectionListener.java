package org.lentilsail.peer;

/** Takes what happens on a connection, on the loop's thread. */
interface ConnectionListener {
  /** Reports that the connection that this daemon opened is established. */
  void connected(PeerConnection connection);

  /** Takes a frame. */
  void frameReceived(PeerConnection connection, byte[] frame);

  /** Reports the end of the connection. */
  void closed(PeerConnection connection, String reason);
}
