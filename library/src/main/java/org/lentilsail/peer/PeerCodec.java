package org.lentilsail.peer;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.msgpack.core.MessagePack;
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

  /** Writes and reads the maps; fields of later versions are ignored. */
  private final ObjectMapper mapper =
      new ObjectMapper(new MessagePackFactory())
          .addMixIn(PeerMessage.class, Untyped.class)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  /** Names of types that differ from the name derived from the class. */
  private final Map<Class<?>, String> names = new ConcurrentHashMap<>();

  void name(final Class<? extends PeerMessage> type, final String name) {
    names.put(type, name);
  }

  ByteBuffer encode(final PeerMessage message, final long request, final long reply) {
    final ObjectNode map = mapper.valueToTree(message);
    map.put(TYPE, nameOf(message.getClass()));
    if (request != 0) {
      map.put(REQUEST, request);
    }
    if (reply != 0) {
      map.put(REPLY, reply);
    }
    final byte[] body = bytes(map);
    if (body.length > FrameReader.MAX_BYTES) {
      throw new LentilsailException(
          ErrorCode.TOO_LARGE,
          "message " + nameOf(message.getClass()) + " has " + body.length + " bytes",
          "send at most " + FrameReader.MAX_BYTES + " bytes");
    }
    final ByteBuffer frame = ByteBuffer.allocate(FrameReader.HEADER_BYTES + body.length);
    return frame.putInt(body.length).put(body).flip();
  }

  /** Reads the map of a frame and checks that the frame holds exactly one. */
  Envelope open(final byte[] frame) {
    try {
      requireOneValue(frame);
      final JsonNode map = mapper.readTree(frame);
      if (map instanceof ObjectNode content && content.path(TYPE).isTextual()) {
        return new Envelope(
            content.path(TYPE).asText(),
            content.path(REQUEST).asLong(),
            content.path(REPLY).asLong(),
            content);
      }
    } catch (final IOException | RuntimeException error) {
      throw notMessagePack(frame, error.toString());
    }
    throw notMessagePack(frame, "no map with a type");
  }

  /**
   * Reads the content of a message.
   *
   * @return the message, null when the content does not fit the type
   */
  <M extends PeerMessage> M read(final Envelope envelope, final Class<M> type) {
    try {
      return mapper.treeToValue(envelope.content(), type);
    } catch (final JsonProcessingException | RuntimeException error) {
      return null;
    }
  }

  private byte[] bytes(final ObjectNode map) {
    try {
      return mapper.writeValueAsBytes(map);
    } catch (final JsonProcessingException error) {
      throw new LentilsailException(
          ErrorCode.INTERNAL, "message cannot be written: " + error, "report this defect", error);
    }
  }

  /** Skipping allocates nothing, so a frame that announces a huge value does no harm. */
  private static void requireOneValue(final byte[] frame) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
      unpacker.skipValue();
      if (unpacker.getTotalReadBytes() != frame.length) {
        throw new IOException("bytes follow the map");
      }
    }
  }

  private static BadFrameException notMessagePack(final byte[] frame, final String reason) {
    return new BadFrameException(
        BadFrame.NOT_MESSAGEPACK, "a frame of " + frame.length + " bytes is no message: " + reason);
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
