package org.lentilsail.peer;

/**
 * Reply to a request that could not be handled.
 *
 * @param reason what happened
 */
record RequestFailed(String reason) implements PeerMessage {
  /** Name of the type in frames. */
  static final String NAME = "request-failed";
}
