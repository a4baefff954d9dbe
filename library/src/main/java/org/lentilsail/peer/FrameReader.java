package org.lentilsail.peer;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a stream of bytes into frames of a 4-byte big-endian length and that many bytes. Memory
 * grows with the bytes that arrive, not with the length that is announced.
 */
final class FrameReader {
  /** Most bytes of a frame, above the 8 MB limit of a response. */
  static final int MAX_FRAME_BYTES = 9 * 1024 * 1024;

  /** Bytes of the length. */
  static final int HEADER_BYTES = 4;

  /** Size in bytes above which the memory of a frame is given back afterwards. */
  private static final int KEPT_BYTES = 64 * 1024;

  /** The length, as far as it has arrived. */
  private final ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);

  /** The frame, as far as it has arrived. */
  private ByteArrayOutputStream body = new ByteArrayOutputStream();

  /** Bytes of the frame that are still missing. */
  private int missing;

  /**
   * Takes bytes that have arrived.
   *
   * @return the frames that are complete now
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

  /** Tells whether the stream may end here. */
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
    if (result.length > KEPT_BYTES) {
      body = new ByteArrayOutputStream();
    } else {
      body.reset();
    }
    return result;
  }
}
