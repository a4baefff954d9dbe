package org.lentilsail.entry;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lentilsail.config.ConfigurationSnapshot;
import org.lentilsail.http.HttpField;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.record.ServiceSpec;

/** Parses HTTP exchanges into requests and rejects invalid ones. */
final class RequestParser {
  /** Maximum size in bytes of the header fields. */
  private static final int HEADER_LIMIT_BYTES = 16 * 1024;

  /** Size in bytes of a field besides its name and value: colon, space, CR and LF. */
  private static final int FIELD_OVERHEAD_BYTES = 4;

  /** Maximum duration in ms; larger ones are reduced to it, so that they can be converted to ns. */
  private static final long MAX_MILLIS = TimeUnit.DAYS.toMillis(1);

  private RequestParser() {}

  static EntryRequest parse(
      final HttpServerExchange exchange,
      final byte[] body,
      final ConfigurationSnapshot snapshot,
      final long nowNanos) {
    final List<HttpField> fields = fields(exchange);
    checkSize(fields);
    if (snapshot.revision() == 0) {
      throw new LentilsailException(
          ErrorCode.NO_CONFIGURATION,
          "this daemon has no configuration yet",
          "repeat the request in a few seconds");
    }
    final String service = service(exchange);
    final ServiceSpec spec = snapshot.records().services().get(service);
    if (spec == null) {
      throw new LentilsailException(
          ErrorCode.NOT_FOUND,
          "service '" + service + "' does not exist",
          "use a path /<service>/... of a service that has a record");
    }
    return new EntryRequest(
        service,
        exchange.getRequestMethod().toString(),
        path(exchange, service),
        HopByHopFields.endToEnd(fields),
        body,
        text(exchange, "Idempotency-Key"),
        text(exchange, "Lentilsail-Team"),
        text(exchange, "Lentilsail-Urgent").equals("true"),
        millis(exchange, "Lentilsail-Expected-Millis", 0),
        nowNanos
            + TimeUnit.MILLISECONDS.toNanos(
                millis(exchange, "Lentilsail-Deadline-Millis", spec.timeoutMillis())));
  }

  /** Returns the first segment of the path, empty for the root. */
  static String service(final HttpServerExchange exchange) {
    final String path = exchange.getRequestPath();
    final int end = path.indexOf('/', 1);
    return path.substring(1, end < 0 ? path.length() : end);
  }

  private static String path(final HttpServerExchange exchange, final String service) {
    final String uri = exchange.getRequestURI();
    final int start = uri.indexOf("/" + service, uri.startsWith("http") ? "http://".length() : 0);
    final String rest = uri.substring(start + 1 + service.length());
    final String query = exchange.getQueryString();
    return (rest.isEmpty() ? "/" : rest) + (query.isEmpty() ? "" : "?" + query);
  }

  private static List<HttpField> fields(final HttpServerExchange exchange) {
    final List<HttpField> result = new ArrayList<>();
    for (final HeaderValues values : exchange.getRequestHeaders()) {
      for (final String value : values) {
        result.add(new HttpField(values.getHeaderName().toString(), value));
      }
    }
    return result;
  }

  private static void checkSize(final List<HttpField> fields) {
    final int bytes =
        fields.stream()
            .mapToInt(
                field -> field.name().length() + field.value().length() + FIELD_OVERHEAD_BYTES)
            .sum();
    if (bytes > HEADER_LIMIT_BYTES) {
      throw new LentilsailException(
          ErrorCode.TOO_LARGE,
          "header fields take " + bytes + " bytes and the limit is " + HEADER_LIMIT_BYTES,
          "send fewer or shorter header fields");
    }
  }

  private static String text(final HttpServerExchange exchange, final String name) {
    final String value = exchange.getRequestHeaders().getFirst(name);
    return value == null ? "" : value.trim();
  }

  private static long millis(
      final HttpServerExchange exchange, final String name, final long defaultMillis) {
    final String value = text(exchange, name);
    long result = defaultMillis;
    if (!value.isEmpty()) {
      try {
        result = Long.parseLong(value);
      } catch (final NumberFormatException error) {
        result = -1;
      }
    }
    if (result < 0) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT,
          "field " + name + " is '" + value + "'",
          "give a whole number of ms that is not negative");
    }
    return Math.min(result, MAX_MILLIS);
  }
}
