package org.lentilsail.peer;

import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** Reports that a peer did not reply, and whether the request may have reached it. */
public final class PeerUnreachableException extends LentilsailException {
  private final boolean maybeSent;

  /**
   * Creates an exception.
   *
   * @param peer id of the peer
   * @param maybeSent whether the request may have reached the peer
   * @param reason cause of the failure
   */
  public PeerUnreachableException(final String peer, final boolean maybeSent, final String reason) {
    super(
        ErrorCode.OUTCOME_UNKNOWN,
        "no reply from daemon " + peer + ": " + reason,
        "check the daemon's process and the network between the availability zones");
    this.maybeSent = maybeSent;
  }

  /**
   * Returns whether the request may have reached the peer.
   *
   * @return false when it certainly has not
   */
  public boolean maybeSent() {
    return maybeSent;
  }
}
