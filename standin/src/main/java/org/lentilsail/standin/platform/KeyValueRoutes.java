package org.lentilsail.standin.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.platform.Listing;
import org.lentilsail.platform.VersionedValue;
import org.lentilsail.platform.WriteResult;

/** HTTP routes of the key-value service. */
final class KeyValueRoutes {
  /** Path prefix of single keys. */
  private static final String KEYS = "/v1/kv/";

  /** Path prefix of single leases. */
  private static final String LEASES = "/v1/leases/";

  /** Path suffix of the renewal of a lease. */
  private static final String KEEPALIVE = "/keepalive";

  private static final int MAX_VALUE_BYTES = 1024 * 1024;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final KeyValueStore store;

  private final WatchHub watches;

  private final TimeSource time;

  KeyValueRoutes(final KeyValueStore store, final WatchHub watches, final TimeSource time) {
    this.store = store;
    this.watches = watches;
    this.time = time;
  }

  void addTo(final RoutingHandler routes) {
    routes
        .get("/v1/kv", this::list)
        .get(KEYS + "*", this::read)
        .put(KEYS + "*", this::write)
        .delete(KEYS + "*", this::delete)
        .get("/v1/watch", this::watch)
        .post("/v1/leases", this::grant)
        .post(LEASES + "*", this::renew)
        .delete(LEASES + "*", this::revoke);
  }

  private void list(final HttpServerExchange exchange) {
    final Listing listing = store.list(Replies.queryOr(exchange, "prefix", ""));
    final ObjectNode body = Replies.object().put("revision", listing.revision());
    final ArrayNode values = body.putArray("values");
    listing.values().forEach(value -> values.add(json(value)));
    Replies.send(exchange, 200, body);
  }

  private void read(final HttpServerExchange exchange) {
    final String key = Replies.tail(exchange, KEYS);
    store
        .get(key)
        .ifPresentOrElse(
            value -> Replies.send(exchange, 200, json(value)),
            () ->
                Replies.sendError(
                    exchange, ErrorCode.NOT_FOUND, "key \"" + key + "\" does not exist"));
  }

  private void write(final HttpServerExchange exchange) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (call, bytes) -> Replies.attempt(call, () -> write(call, bytes)),
            (call, error) -> rejectBody(call, error));
  }

  private void write(final HttpServerExchange exchange, final byte[] bytes) {
    if (bytes.length > MAX_VALUE_BYTES) {
      Replies.sendError(
          exchange, ErrorCode.TOO_LARGE, "value has more than " + MAX_VALUE_BYTES + " bytes");
      return;
    }
    reply(
        exchange,
        store.put(
            Replies.tail(exchange, KEYS),
            Replies.number(exchange, "expectedRevision"),
            parse(bytes),
            Optional.ofNullable(Replies.queryOr(exchange, "lease", null))));
  }

  private static void rejectBody(final HttpServerExchange exchange, final IOException error) {
    Replies.sendError(exchange, ErrorCode.TOO_LARGE, "value cannot be read: " + error.getMessage());
  }

  private void delete(final HttpServerExchange exchange) {
    Replies.attempt(
        exchange,
        () ->
            reply(
                exchange,
                store.delete(
                    Replies.tail(exchange, KEYS), Replies.number(exchange, "expectedRevision"))));
  }

  private void reply(final HttpServerExchange exchange, final WriteResult result) {
    if (result.written()) {
      Replies.send(exchange, 200, Replies.object().put("revision", result.revision()));
      watches.wake();
    } else {
      final ObjectNode none = Replies.object().put("revision", 0);
      Replies.send(exchange, 409, result.current().map(KeyValueRoutes::json).orElse(none));
    }
  }

  private void watch(final HttpServerExchange exchange) {
    Replies.attempt(
        exchange,
        () -> {
          final WaitingWatch watch =
              new WaitingWatch(
                  exchange,
                  FaultHandler.client(exchange),
                  Replies.queryOr(exchange, "prefix", ""),
                  Replies.number(exchange, "after"),
                  time.nanos()
                      + TimeUnit.MILLISECONDS.toNanos(Replies.number(exchange, "waitMillis")));
          exchange.dispatch(SameThreadExecutor.INSTANCE, () -> watches.add(watch));
        });
  }

  private void grant(final HttpServerExchange exchange) {
    Replies.attempt(
        exchange,
        () -> {
          final Duration ttl = Duration.ofMillis(Replies.number(exchange, "ttlMillis"));
          Replies.send(exchange, 200, Replies.object().put("lease", store.grant(ttl)));
        });
  }

  private void renew(final HttpServerExchange exchange) {
    final String tail = Replies.tail(exchange, LEASES);
    final boolean renewed =
        tail.endsWith(KEEPALIVE)
            && store.keepAlive(tail.substring(0, tail.length() - KEEPALIVE.length()));
    if (renewed) {
      Replies.send(exchange, 200, Replies.object());
    } else {
      Replies.sendError(exchange, ErrorCode.NOT_FOUND, "lease " + tail + " has expired");
    }
  }

  private void revoke(final HttpServerExchange exchange) {
    store.revoke(Replies.tail(exchange, LEASES));
    Replies.send(exchange, 200, Replies.object());
    watches.wake();
  }

  private static JsonNode parse(final byte[] bytes) {
    try {
      return JSON.readTree(bytes);
    } catch (final JsonProcessingException error) {
      throw new IllegalArgumentException("value is not JSON: " + error.getOriginalMessage(), error);
    } catch (final IOException error) {
      throw new IllegalArgumentException("value cannot be read: " + error.getMessage(), error);
    }
  }

  private static ObjectNode json(final VersionedValue value) {
    final ObjectNode result = Replies.object().put("key", value.key());
    result.set("value", value.value());
    return result.put("revision", value.revision());
  }
}
