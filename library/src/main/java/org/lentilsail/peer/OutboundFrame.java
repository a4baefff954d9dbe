package org.lentilsail.peer;

import java.nio.ByteBuffer;

/** A frame on its way out. */
final class OutboundFrame {
  /** Length and content. */
  private final ByteBuffer bytes;

  /** Number of bytes in total. */
  private final int size;

  /** Whether any byte may have left. */
  private boolean started;

  /** Whether the frame is not to be sent any more. */
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
