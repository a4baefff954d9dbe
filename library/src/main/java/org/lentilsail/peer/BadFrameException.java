package org.lentilsail.peer;

import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** Reports a frame that is truncated, too long, not a MessagePack map or not the expected hello. */
final class BadFrameException extends LentilsailException {
  /** The reason, also the label of the metric. */
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
