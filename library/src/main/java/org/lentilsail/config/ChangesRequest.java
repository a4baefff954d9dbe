package org.lentilsail.config;

import org.lentilsail.peer.PeerMessage;

/**
 * Asks a peer for changes.
 *
 * @param after revision up to which the sender has everything
 * @param deltas whether the reply may have differences; false without the field, so that a daemon
 *     that cannot read differences gets none
 */
record ChangesRequest(long after, boolean deltas) implements PeerMessage {
  /** Name of the type in frames. */
  static final String NAME = "changes-request";
}
