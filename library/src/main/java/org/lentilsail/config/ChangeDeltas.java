package org.lentilsail.config;

import org.lentilsail.peer.PeerMessage;

/**
 * Pushes changes of which some are deltas. It is a separate message type because a daemon of a
 * version without deltas would ignore the deltas in {@link Changes} and skip these changes; such a
 * daemon ignores this message and requests the changes instead.
 *
 * @param changes the changes
 */
record ChangeDeltas(Changes changes) implements PeerMessage {
  /** Name of the type in frames. */
  static final String NAME = "change-deltas";
}
