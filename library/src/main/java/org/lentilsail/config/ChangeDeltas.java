package org.lentilsail.config;

import org.lentilsail.peer.PeerMessage;

/**
 * Pushes changes of which some are differences. It is a type of its own, because a daemon of a
 * version without differences would take them for nothing and pass over the change; it ignores this
 * type and asks for the changes instead.
 *
 * @param changes the changes
 */
record ChangeDeltas(Changes changes) implements PeerMessage {
  /** Name of the type in frames. */
  static final String NAME = "change-deltas";
}
