package org.lentilsail.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Headers;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.xnio.IoUtils;

/** Sends JSON replies, and drops those that an injected fault loses. */
final class Replies {
  /** Marks exchanges whose reply is dropped. */
  static final AttachmentKey<Boolean> LOST = AttachmentKey.create(Boolean.class);

  private Replies() {}

  static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  static void send(final HttpServerExchange exchange, final int status, final JsonNode body) {
    if (exchange.getAttachment(LOST) != null) {
      IoUtils.safeClose(exchange.getConnection());
    } else {
      exchange.setStatusCode(status);
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
      exchange.getResponseSender().send(body.toString());
    }
  }

  static void sendError(
      final HttpServerExchange exchange, final ErrorCode code, final String message) {
    send(exchange, code.httpStatus(), object().put("code", code.text()).put("message", message));
  }

  /** Runs a handler and turns typed errors and malformed input into error responses. */
  static void attempt(final HttpServerExchange exchange, final Runnable handler) {
    try {
      handler.run();
    } catch (final LentilsailException error) {
      sendError(exchange, error.code(), error.getMessage());
    } catch (final IllegalArgumentException error) {
      sendError(exchange, ErrorCode.INVALID_INPUT, String.valueOf(error.getMessage()));
    }
  }

  static String query(final HttpServerExchange exchange, final String name) {
    final String result = queryOr(exchange, name, null);
    if (result == null) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT, "query parameter " + name + " is missing", "add " + name + "=");
    }
    return result;
  }

  static String queryOr(
      final HttpServerExchange exchange, final String name, final String fallback) {
    final var found = exchange.getQueryParameters().get(name);
    return found == null || found.isEmpty() ? fallback : found.getFirst();
  }

  static long number(final HttpServerExchange exchange, final String name) {
    return Long.parseLong(query(exchange, name));
  }

  static String tail(final HttpServerExchange exchange, final String prefix) {
    return exchange.getRequestPath().substring(prefix.length());
  }
}
