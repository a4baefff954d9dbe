package org.lentilsail.admin;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.PathTemplateMatch;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Optional;
import java.util.UUID;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.json.JsonText;
import org.lentilsail.model.record.RecordKey;
import org.lentilsail.model.record.RecordKind;

/** Parses the path, query parameters and body of a request; rejects malformed ones. */
final class AdminRequest {
  /** Maximum body size in bytes; values that the platform stores are not larger. */
  static final int BODY_LIMIT_BYTES = 1_000_000;

  /** Must be in blocking mode, so that the body can be read. */
  private final HttpServerExchange exchange;

  AdminRequest(final HttpServerExchange exchange) {
    this.exchange = exchange;
  }

  /** Returns the value of a path template variable. */
  String path(final String name) {
    return exchange.getAttachment(PathTemplateMatch.ATTACHMENT_KEY).getParameters().get(name);
  }

  /** Returns the key of the record that the path identifies. */
  RecordKey record() {
    final RecordKind kind =
        RecordKey.kindOf(path("kind"))
            .orElseThrow(
                () ->
                    new LentilsailException(
                        ErrorCode.NOT_FOUND,
                        "unknown record kind: " + path("kind"),
                        "use pool, service, budget, wave or hold"));
    if (!RecordKey.validName(path("name"))) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT,
          "\"" + path("name") + "\" is not a valid record name",
          "use up to 63 lower-case letters, digits and hyphens, starting with a letter");
    }
    return new RecordKey(kind, path("name"));
  }

  /** Returns a query parameter. */
  Optional<String> query(final String name) {
    return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(Deque::peekFirst);
  }

  /** Returns a query parameter that must be a non-negative integer. */
  Optional<Long> number(final String name) {
    return query(name)
        .map(
            text -> {
              if (!text.matches("\\d{1,18}")) {
                throw new LentilsailException(
                    ErrorCode.INVALID_INPUT,
                    "query parameter " + name + " is \"" + text + "\"",
                    "use a non-negative integer");
              }
              return Long.parseLong(text);
            });
  }

  /** Returns the revision that a write is based on. */
  long expectedRevision() {
    return number("expectedRevision")
        .orElseThrow(
            () ->
                new LentilsailException(
                    ErrorCode.INVALID_INPUT,
                    "query parameter expectedRevision is missing",
                    "specify the revision that the write is based on, 0 to create the record"));
  }

  /** Returns the write ID of the request (query parameter {@code mark}), or a new random one. */
  String writeId() {
    final String writeId = query("mark").orElseGet(() -> UUID.randomUUID().toString());
    if (!writeId.matches("[0-9A-Za-z-]{1,64}")) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT,
          "query parameter mark is \"" + writeId + "\"",
          "use a UUID that no other write uses");
    }
    return writeId;
  }

  /** Returns the body as JSON. */
  JsonNode body() {
    return JsonText.parse(bodyText(), "the request body", ErrorCode.INVALID_INPUT);
  }

  /** Returns the body as JSON, or an empty object when there is no body. */
  JsonNode bodyOrEmpty() {
    final String text = bodyText();
    return JsonText.parse(
        text.isBlank() ? "{}" : text, "the request body", ErrorCode.INVALID_INPUT);
  }

  private String bodyText() {
    try {
      final byte[] bytes = exchange.getInputStream().readNBytes(BODY_LIMIT_BYTES + 1);
      if (bytes.length > BODY_LIMIT_BYTES) {
        exchange.setPersistent(false);
        throw new LentilsailException(
            ErrorCode.TOO_LARGE,
            "the request body is larger than " + BODY_LIMIT_BYTES + " bytes",
            "reduce the size of the record");
      }
      return new String(bytes, StandardCharsets.UTF_8);
    } catch (final IOException error) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT,
          "the request body is incomplete",
          "send the request again",
          error);
    }
  }
}
