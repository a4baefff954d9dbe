package org.lentilsail.config;

import org.lentilsail.peer.PeerMessage;

/**
 * Requests changes from a peer.
 *
 * @param after revision up to which the sender has all changes
 * @param deltas whether the reply may contain deltas; false without the field, so that a daemon
 *     that does not support deltas gets none
 */
record ChangesRequest(long after, boolean deltas) implements PeerMessage {
  /** Name of the type in frames. */
  static final String NAME = "changes-request";
}
