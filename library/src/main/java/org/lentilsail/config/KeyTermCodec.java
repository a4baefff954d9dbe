package org.lentilsail.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Converts ownership terms of key ranges to the values under {@code keys/<range>} and back. */
public final class KeyTermCodec {
  /** Prefix of the platform keys that store terms; the number of the range follows. */
  public static final String PREFIX = "keys/";

  private KeyTermCodec() {}

  /**
   * Writes a term.
   *
   * @param term the term
   * @return its JSON form
   */
  public static ObjectNode write(final KeyTerm term) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("range", term.range())
        .put("daemon", term.daemon())
        .put("incarnation", term.incarnation())
        .put("fromMillis", term.fromMillis())
        .put("toMillis", term.toMillis());
  }

  /**
   * Reads a term.
   *
   * @param json its JSON form
   * @return the term
   */
  public static KeyTerm read(final JsonNode json) {
    return new KeyTerm(
        json.path("range").asInt(),
        json.path("daemon").asText(),
        json.path("incarnation").asLong(),
        json.path("fromMillis").asLong(),
        json.path("toMillis").asLong());
  }
}
