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

/** Reads the parts of a request and refuses malformed ones. */
final class AdminRequest {
  /** Largest body in bytes; a value of the platform is not larger. */
  static final int BODY_LIMIT_BYTES = 1_000_000;

  /** The exchange, in blocking mode. */
  private final HttpServerExchange exchange;

  AdminRequest(final HttpServerExchange exchange) {
    this.exchange = exchange;
  }

  /** Returns a variable part of the path. */
  String path(final String name) {
    return exchange.getAttachment(PathTemplateMatch.ATTACHMENT_KEY).getParameters().get(name);
  }

  /** Returns the record that the path names. */
  RecordKey record() {
    final RecordKind kind =
        RecordKey.kindOf(path("kind"))
            .orElseThrow(
                () ->
                    new LentilsailException(
                        ErrorCode.NOT_FOUND,
                        "there is no kind of record " + path("kind"),
                        "use pool, service, budget, wave or hold"));
    if (!RecordKey.validName(path("name"))) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT,
          "\"" + path("name") + "\" cannot be the name of a record",
          "write up to 63 lower-case letters, digits and hyphens, a letter first");
    }
    return new RecordKey(kind, path("name"));
  }

  /** Returns a query parameter. */
  Optional<String> query(final String name) {
    return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(Deque::peekFirst);
  }

  /** Returns a query parameter that is a whole number and not negative. */
  Optional<Long> number(final String name) {
    return query(name)
        .map(
            text -> {
              if (!text.matches("\\d{1,18}")) {
                throw new LentilsailException(
                    ErrorCode.INVALID_INPUT,
                    "query parameter " + name + " is \"" + text + "\"",
                    "write a whole number that is not negative");
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
                    "state the revision that the write is based on, 0 to create the record"));
  }

  /** Returns the mark of a write, a new one when the request has none. */
  String writeId() {
    final String mark = query("mark").orElseGet(() -> UUID.randomUUID().toString());
    if (!mark.matches("[0-9A-Za-z-]{1,64}")) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT,
          "query parameter mark is \"" + mark + "\"",
          "write a UUID that no other write has");
    }
    return mark;
  }

  /** Returns the body as JSON. */
  JsonNode body() {
    return JsonText.parse(bodyText(), "the request body", ErrorCode.INVALID_INPUT);
  }

  /** Returns the body as JSON, an empty object when there is no body. */
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
            "write a smaller record");
      }
      return new String(bytes, StandardCharsets.UTF_8);
    } catch (final IOException error) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT, "the request body is truncated", "send it again", error);
    }
  }
}
