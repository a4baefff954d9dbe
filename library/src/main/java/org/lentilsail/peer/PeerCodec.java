package org.lentilsail.peer;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Writes and reads messages as MessagePack maps. The field {@code type} names the message; {@code
 * request} and {@code reply} relate replies to requests. Thread-safe.
 */
final class PeerCodec {
  /** Field with the type. */
  private static final String TYPE = "type";

  /** Field with the number of a request. */
  private static final String REQUEST = "$request";

  /** Field with the number of the request that is replied to. */
  private static final String REPLY = "$reply";

  /** Field with the content of the message; always the last one. */
  private static final String CONTENT = "content";

  /** Size in bytes of the buffer for a head; the default of 8 KB was a third of all allocation. */
  private static final int HEAD_BYTES = 128;

  /** Creates packers for heads. */
  private static final MessagePack.PackerConfig HEADS =
      new MessagePack.PackerConfig().withBufferSize(HEAD_BYTES);

  /** Most bytes of a field name or type. */
  private static final int MAX_TEXT_BYTES = 256;

  /** Writes and reads the content; fields of later versions are ignored. */
  private final ObjectMapper mapper =
      new ObjectMapper(new MessagePackFactory())
          .addMixIn(PeerMessage.class, Untyped.class)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  /** Names of types that differ from the name derived from the class. */
  private final Map<Class<?>, String> names = new ConcurrentHashMap<>();

  void registerName(final Class<? extends PeerMessage> type, final String name) {
    names.put(type, name);
  }

  ByteBuffer encode(final PeerMessage message, final long request, final long reply) {
    final byte[] content = bytes(message);
    final byte[] head = head(nameOf(message.getClass()), request, reply);
    final int size = head.length + content.length;
    if (size > FrameReader.MAX_FRAME_BYTES) {
      throw new LentilsailException(
          ErrorCode.TOO_LARGE,
          "message " + nameOf(message.getClass()) + " has " + size + " bytes",
          "send at most " + FrameReader.MAX_FRAME_BYTES + " bytes");
    }
    final ByteBuffer frame = ByteBuffer.allocate(FrameReader.HEADER_BYTES + size);
    return frame.putInt(size).put(head).put(content).flip();
  }

  /** Reads the head of a frame and checks that the frame holds exactly one map. */
  Envelope decodeEnvelope(final byte[] frame) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
      final Envelope result = envelope(frame, unpacker);
      if (unpacker.getTotalReadBytes() != frame.length) {
        throw notMessagePack(frame, "bytes follow the map");
      }
      if (result.type().isEmpty()) {
        throw notMessagePack(frame, "no map with a type");
      }
      return result;
    } catch (final IOException | MessagePackException error) {
      throw notMessagePack(frame, error.toString());
    }
  }

  /**
   * Reads the content of a message.
   *
   * @return the message, null when the content does not fit the type
   */
  <M extends PeerMessage> M decodeContent(final Envelope envelope, final Class<M> type) {
    try {
      return mapper.readValue(
          envelope.frame(), envelope.contentOffset(), envelope.contentLength(), type);
    } catch (final IOException | RuntimeException error) {
      return null;
    }
  }

  /**
   * Reads the fields of the map. The content is only skipped here; skipping allocates nothing, so a
   * frame that announces a huge value does no harm.
   */
  private static Envelope envelope(final byte[] frame, final MessageUnpacker unpacker)
      throws IOException {
    final int fields = unpacker.unpackMapHeader();
    String type = "";
    long request = 0;
    long reply = 0;
    int contentOffset = 0;
    int contentLength = 0;
    for (int i = 0; i < fields; i++) {
      switch (text(unpacker)) {
        case TYPE -> type = text(unpacker);
        case REQUEST -> request = unpacker.unpackLong();
        case REPLY -> reply = unpacker.unpackLong();
        case CONTENT -> {
          contentOffset = (int) unpacker.getTotalReadBytes();
          unpacker.skipValue();
          contentLength = (int) unpacker.getTotalReadBytes() - contentOffset;
        }
        default -> unpacker.skipValue();
      }
    }
    return new Envelope(type, request, reply, frame, contentOffset, contentLength);
  }

  /** Reads a short text; a longer one, such as a huge announced size, is refused unread. */
  private static String text(final MessageUnpacker unpacker) throws IOException {
    final int length = unpacker.unpackRawStringHeader();
    if (length > MAX_TEXT_BYTES) {
      throw new IOException("a field name or type of " + length + " bytes");
    }
    return new String(unpacker.readPayload(length), StandardCharsets.UTF_8);
  }

  private byte[] bytes(final PeerMessage message) {
    try {
      return mapper.writeValueAsBytes(message);
    } catch (final JsonProcessingException error) {
      throw new LentilsailException(
          ErrorCode.INTERNAL, "message cannot be written: " + error, "report this defect", error);
    }
  }

  /** Writes the map up to its last field, whose value is the content. */
  private static byte[] head(final String type, final long request, final long reply) {
    try (MessageBufferPacker packer = HEADS.newBufferPacker()) {
      packer.packMapHeader(2 + (request != 0 ? 1 : 0) + (reply != 0 ? 1 : 0));
      packer.packString(TYPE).packString(type);
      if (request != 0) {
        packer.packString(REQUEST).packLong(request);
      }
      if (reply != 0) {
        packer.packString(REPLY).packLong(reply);
      }
      packer.packString(CONTENT);
      return packer.toByteArray();
    } catch (final IOException error) {
      throw new LentilsailException(
          ErrorCode.INTERNAL, "message cannot be written: " + error, "report this defect", error);
    }
  }

  private static BadFrameException notMessagePack(final byte[] frame, final String reason) {
    return new BadFrameException(
        BadFrameReason.NOT_MESSAGEPACK,
        "a frame of " + frame.length + " bytes is no message: " + reason);
  }

  private String nameOf(final Class<?> type) {
    return names.computeIfAbsent(
        type,
        key -> key.getSimpleName().replaceAll("(?<!^)([A-Z])", "-$1").toLowerCase(Locale.ROOT));
  }

  /** Turns off the type field of Jackson, because this codec writes it. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.NONE)
  private interface Untyped {}
}
