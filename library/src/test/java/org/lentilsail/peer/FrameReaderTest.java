package org.lentilsail.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against frames that depend on how TCP splits the stream, and against huge lengths. */
class FrameReaderTest {
  private final FrameReader reader = new FrameReader();

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 5, 100})
  void findsFramesHoweverTheStreamIsSplit(final int step) {
    final byte[] stream = {0, 0, 0, 2, 7, 8, 0, 0, 0, 0, 0, 0, 0, 1, 9};
    final List<byte[]> frames = new ArrayList<>();
    for (int i = 0; i < stream.length; i += step) {
      frames.addAll(reader.feed(ByteBuffer.wrap(stream, i, Math.min(step, stream.length - i))));
    }
    assertThat(frames.stream().map(frame -> frame.length).toList(), is(List.of(2, 0, 1)));
    assertThat(frames.get(0)[1], is((byte) 8));
    assertThat(reader.isBetweenFrames(), is(true));
  }

  @ParameterizedTest
  @ValueSource(ints = {FrameReader.MAX_FRAME_BYTES + 1, Integer.MAX_VALUE, -1})
  void refusesFrameOverTheLimit(final int length) {
    final ByteBuffer header = ByteBuffer.allocate(4).putInt(length).flip();
    final BadFrameException error =
        assertThrows(BadFrameException.class, () -> reader.feed(header));
    assertThat(error.reason(), is(BadFrameReason.TOO_LONG));
  }

  @Test
  void reportsThatTheStreamMustNotEndWithinFrame() {
    reader.feed(ByteBuffer.wrap(new byte[] {0, 0}));
    assertThat(reader.isBetweenFrames(), is(false));
    reader.feed(ByteBuffer.wrap(new byte[] {0, 3, 1}));
    assertThat(reader.isBetweenFrames(), is(false));
  }
}
