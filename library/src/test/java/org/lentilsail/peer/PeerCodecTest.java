package org.lentilsail.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against messages that change in transit, and against other bytes accepted as messages. */
class PeerCodecTest {
  private final PeerCodec codec = new PeerCodec();

  @Test
  void keepsContentAndNumbers() {
    final Sample sample = new Sample("a", new byte[] {1, -1}, Map.of("k", List.of(1, 2)), null);
    final Envelope envelope = codec.decodeEnvelope(body(codec.encode(sample, 7, 9)));
    assertThat(envelope.type(), is("sample"));
    assertThat(envelope.request(), is(7L));
    assertThat(envelope.reply(), is(9L));
    final Sample read = codec.decodeContent(envelope, Sample.class);
    assertThat(read.text(), is("a"));
    assertThat(read.bytes(), is(new byte[] {1, -1}));
    assertThat(read.map(), is(sample.map()));
    assertThat(read.none(), is(nullValue()));
  }

  @Test
  void ignoresFieldsOfLaterVersionsAndContentThatDoesNotFit() {
    final Envelope other = codec.decodeEnvelope(body(codec.encode(new Heartbeat(3, true), 0, 0)));
    assertThat(codec.decodeContent(other, Sample.class).text(), is(nullValue()));
    final Envelope sample =
        codec.decodeEnvelope(
            body(codec.encode(new Sample("a", null, Map.of("k", List.of()), null), 0, 0)));
    assertThat(codec.decodeContent(sample, Misfit.class), is(nullValue()));
  }

  /** The inputs include an empty frame, a number, a map without type, two maps and huge lengths. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "07",
        "80",
        "81a1610181a16101",
        "c1",
        "81a474797065c67fffffff00",
        "df7fffffff",
        "92"
      })
  void refusesWhatIsNotOneMapWithType(final String hex) {
    final BadFrameException error =
        assertThrows(
            BadFrameException.class, () -> codec.decodeEnvelope(HexFormat.of().parseHex(hex)));
    assertThat(error.reason(), is(BadFrameReason.NOT_MESSAGEPACK));
  }

  private static byte[] body(final ByteBuffer frame) {
    final byte[] result = new byte[frame.getInt()];
    frame.get(result);
    return result;
  }

  /** A message with fields of several types. */
  record Sample(String text, byte[] bytes, Map<String, List<Integer>> map, String none)
      implements PeerMessage {}

  /** A message with a field of the same name as in {@link Sample} but of another type. */
  record Misfit(int map) implements PeerMessage {}
}
