package org.lentilsail.peer;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a stream of bytes into frames, each a 4-byte big-endian length and that many bytes. Memory
 * grows with the bytes received, not with the announced length.
 */
final class FrameReader {
  /** Maximum size of a frame in bytes; above the limit of 8 MB of a response. */
  static final int MAX_FRAME_BYTES = 9 * 1024 * 1024;

  /** Size of the length header in bytes. */
  static final int HEADER_BYTES = 4;

  /** Size in bytes above which the buffer of a frame is not reused. */
  private static final int MAX_REUSED_BYTES = 64 * 1024;

  /** The part of the length header that was received. */
  private final ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);

  /** The part of the frame that was received. */
  private ByteArrayOutputStream body = new ByteArrayOutputStream();

  /** Number of bytes of the frame that are still missing. */
  private int missing;

  /**
   * Processes received bytes.
   *
   * @return the frames that these bytes complete
   */
  List<byte[]> feed(final ByteBuffer input) {
    final List<byte[]> result = new ArrayList<>();
    while (input.hasRemaining()) {
      if (header.hasRemaining()) {
        header.put(input.get());
        if (!header.hasRemaining()) {
          beginFrame(header.getInt(0));
        }
      } else {
        final int count = Math.min(missing, input.remaining());
        final byte[] chunk = new byte[count];
        input.get(chunk);
        body.write(chunk, 0, count);
        missing -= count;
      }
      if (!header.hasRemaining() && missing == 0) {
        result.add(endFrame());
      }
    }
    return result;
  }

  /** Returns whether the stream may end here. */
  boolean isBetweenFrames() {
    return header.position() == 0;
  }

  private void beginFrame(final int length) {
    if (length < 0 || length > MAX_FRAME_BYTES) {
      throw new BadFrameException(
          BadFrameReason.TOO_LONG,
          "a frame announces "
              + Integer.toUnsignedString(length)
              + " bytes, the limit is "
              + MAX_FRAME_BYTES);
    }
    missing = length;
  }

  private byte[] endFrame() {
    final byte[] result = body.toByteArray();
    header.clear();
    if (result.length > MAX_REUSED_BYTES) {
      body = new ByteArrayOutputStream();
    } else {
      body.reset();
    }
    return result;
  }
}
