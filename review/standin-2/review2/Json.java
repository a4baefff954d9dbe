package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes JSON bodies. */
final class Json {
  static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  static JsonNode read(final byte[] body) {
    try {
      return body.length == 0 ? object() : MAPPER.readTree(body);
    } catch (final IOException error) {
      throw new UncheckedIOException(error);
    }
  }

  static byte[] write(final JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (final IOException error) {
      throw new UncheckedIOException(error);
    }
  }
}
