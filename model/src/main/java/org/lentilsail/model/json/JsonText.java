package org.lentilsail.model.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** Parses JSON with comments; rejects duplicate fields and content after the document. */
public final class JsonText {
  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private JsonText() {}

  /**
   * Parses a document.
   *
   * @param text the document
   * @param source source of the document for the error message
   * @param code error code of the exception when the text is malformed
   * @return the parsed document
   */
  public static JsonNode parse(final String text, final String source, final ErrorCode code) {
    try {
      return MAPPER.readTree(text);
    } catch (final JsonProcessingException error) {
      final String place =
          error.getLocation() == null
              ? ""
              : " at line "
                  + error.getLocation().getLineNr()
                  + ", column "
                  + error.getLocation().getColumnNr();
      throw new LentilsailException(
          code,
          source + " is malformed" + place + ": " + error.getOriginalMessage(),
          "correct the JSON",
          error);
    }
  }
}
