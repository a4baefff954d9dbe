package org.lentilsail.config;

import org.lentilsail.peer.PeerMessage;

/**
 * Asks a peer for changes.
 *
 * @param after revision up to which the sender has everything
 */
record ChangesRequest(long after) implements PeerMessage {
  /** Name of the type in frames. */
  static final String NAME = "changes-request";
}
