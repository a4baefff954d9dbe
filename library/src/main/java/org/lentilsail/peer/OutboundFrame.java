package org.lentilsail.peer;

import java.nio.ByteBuffer;

/** A frame that is queued or being sent. */
final class OutboundFrame {
  /** Length header and content. */
  private final ByteBuffer bytes;

  /** Total number of bytes. */
  private final int size;

  /** Whether any byte may have been sent. */
  private boolean started;

  /** Whether the frame must not be sent any more. */
  private boolean cancelled;

  OutboundFrame(final ByteBuffer bytes) {
    this.bytes = bytes;
    this.size = bytes.remaining();
  }

  ByteBuffer bytes() {
    return bytes;
  }

  int size() {
    return size;
  }

  boolean isStarted() {
    return started;
  }

  void markStarted() {
    started = true;
  }

  boolean isCancelled() {
    return cancelled;
  }

  void cancel() {
    cancelled = true;
  }
}
