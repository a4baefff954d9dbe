package org.lentilsail.peer;

import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** Reports a frame that is cut, too long or not a MessagePack map. */
final class BadFrameException extends LentilsailException {
  /** What is wrong, as it stands in metrics. */
  private final BadFrameReason reason;

  BadFrameException(final BadFrameReason reason, final String message) {
    super(
        ErrorCode.BAD_FRAME,
        message,
        "check that only lentilsail daemons of compatible versions connect to the peer address");
    this.reason = reason;
  }

  BadFrameReason reason() {
    return reason;
  }
}
