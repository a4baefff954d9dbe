package org.lentilsail.peer;

/**
 * Reply to a request that could not be handled.
 *
 * @param reason cause of the failure
 */
record RequestFailed(String reason) implements PeerMessage {
  /** Type of the message in frames. */
  static final String NAME = "request-failed";
}
