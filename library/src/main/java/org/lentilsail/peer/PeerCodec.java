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
 * Encodes and decodes messages as MessagePack maps. The field {@code type} names the message type;
 * {@code $request} and {@code $reply} correlate replies with requests. Thread-safe.
 */
final class PeerCodec {
  private static final String TYPE = "type";

  /** Field with the number of a request that expects a reply. */
  private static final String REQUEST = "$request";

  /** Field with the number of the request that a message replies to. */
  private static final String REPLY = "$reply";

  /** Field with the content of the message; always written last. */
  private static final String CONTENT = "content";

  /** Buffer size for a head in bytes; the default of 8 KB caused a third of all allocation. */
  private static final int HEAD_BUFFER_BYTES = 128;

  /** Creates packers for the heads, the part of a message before its content. */
  private static final MessagePack.PackerConfig HEAD_PACKERS =
      new MessagePack.PackerConfig().withBufferSize(HEAD_BUFFER_BYTES);

  /** Maximum size of a field name or type in bytes. */
  private static final int MAX_STRING_BYTES = 256;

  /**
   * Encodes and decodes the content; unknown fields, such as those of later versions, are ignored.
   */
  private final ObjectMapper mapper =
      new ObjectMapper(new MessagePackFactory())
          .addMixIn(PeerMessage.class, Untyped.class)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  /** Names of message types, registered or derived from the class. */
  private final Map<Class<?>, String> names = new ConcurrentHashMap<>();

  void registerName(final Class<? extends PeerMessage> type, final String name) {
    names.put(type, name);
  }

  ByteBuffer encode(final PeerMessage message, final long request, final long reply) {
    final byte[] content = encodeContent(message);
    final byte[] head = encodeHead(nameOf(message.getClass()), request, reply);
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

  /** Decodes the fields around the content and checks that the frame holds exactly one map. */
  Envelope decodeEnvelope(final byte[] frame) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
      final Envelope result = readEnvelope(frame, unpacker);
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
   * Decodes the content of a message.
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
   * Reads the fields of the map and skips the content. Skipping allocates nothing, so a frame that
   * announces a huge value does not exhaust memory.
   */
  private static Envelope readEnvelope(final byte[] frame, final MessageUnpacker unpacker)
      throws IOException {
    final int fields = unpacker.unpackMapHeader();
    String type = "";
    long request = 0;
    long reply = 0;
    int contentOffset = 0;
    int contentLength = 0;
    for (int i = 0; i < fields; i++) {
      switch (readString(unpacker)) {
        case TYPE -> type = readString(unpacker);
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

  /** Reads a short string; a longer one is rejected before any memory is allocated for it. */
  private static String readString(final MessageUnpacker unpacker) throws IOException {
    final int length = unpacker.unpackRawStringHeader();
    if (length > MAX_STRING_BYTES) {
      throw new IOException("a field name or type has " + length + " bytes");
    }
    return new String(unpacker.readPayload(length), StandardCharsets.UTF_8);
  }

  private byte[] encodeContent(final PeerMessage message) {
    try {
      return mapper.writeValueAsBytes(message);
    } catch (final JsonProcessingException error) {
      throw new LentilsailException(
          ErrorCode.INTERNAL, "message cannot be encoded: " + error, "report this defect", error);
    }
  }

  /** Encodes the map up to the value of its last field, which is the content. */
  private static byte[] encodeHead(final String type, final long request, final long reply) {
    try (MessageBufferPacker packer = HEAD_PACKERS.newBufferPacker()) {
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
          ErrorCode.INTERNAL, "message cannot be encoded: " + error, "report this defect", error);
    }
  }

  private static BadFrameException notMessagePack(final byte[] frame, final String reason) {
    return new BadFrameException(
        BadFrameReason.NOT_MESSAGEPACK,
        "a frame of " + frame.length + " bytes is not a message: " + reason);
  }

  private String nameOf(final Class<?> type) {
    return names.computeIfAbsent(
        type,
        key -> key.getSimpleName().replaceAll("(?<!^)([A-Z])", "-$1").toLowerCase(Locale.ROOT));
  }

  /** Disables the type field of Jackson, because this codec writes it. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.NONE)
  private interface Untyped {}
}
