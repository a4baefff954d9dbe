package org.lentilsail.dispatch;

import org.lentilsail.peer.PeerMessage;

/** Carries a message to the part that handles it, in this daemon or in another one. */
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
