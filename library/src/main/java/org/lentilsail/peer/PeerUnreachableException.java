package org.lentilsail.peer;

import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** Reports that a peer gave no reply, and whether the request may have reached it. */
public final class PeerUnreachableException extends LentilsailException {
  /** Whether the request may have reached the peer. */
  private final boolean maybeSent;

  /**
   * Creates an exception.
   *
   * @param peer id of the peer
   * @param sent whether the request may have reached the peer
   * @param reason what happened
   */
  public PeerUnreachableException(final String peer, final boolean sent, final String reason) {
    super(
        ErrorCode.OUTCOME_UNKNOWN,
        "no reply from daemon " + peer + ": " + reason,
        "check the daemon's process and the network between the availability zones");
    this.maybeSent = sent;
  }

  /**
   * Tells whether the request may have reached the peer.
   *
   * @return false when it certainly has not
   */
  public boolean maybeSent() {
    return maybeSent;
  }
}
