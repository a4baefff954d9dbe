package org.lentilsail.dispatch;

import org.lentilsail.peer.PeerMessage;

/** Sends slot messages to a daemon, which may be this one. */
@FunctionalInterface
interface SlotMessageSender {
  /**
   * Sends a message.
   *
   * @param daemon id of the receiver, which may be this daemon
   * @param message the message
   */
  void send(String daemon, PeerMessage message);
}
