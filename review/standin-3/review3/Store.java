package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in of the platform's key-value store: items, leases, watches and transactions in memory.
 */
final class Store {
  /** Maximum number of entries of a transaction. */
  private static final int MAX_ENTRIES = 32;

  /** Time of an answer, as on the sheets of the sites. */
  private static final long ANSWER_MILLIS = 4;

  private static final int PAGE_ITEMS = 500;
  private static final int PAGE_BYTES = 1_000_000;

  /** Decides whether the response to a transaction is lost, and when the store executes it. */
  interface Loss {
    /** Returns the delay in ms until the transaction is executed, negative for an answered one. */
    long delayMillis(JsonNode transaction);
  }

  private record Item(String key, byte[] value, long revision, long created, long lease) {}

  private record Event(String key, Item item, long revision) {}

  private static final class Lease {
    long ttlMillis;
    long endsAt;
  }

  private final int valueBytes;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision = 10;
  private long nextLease = 1_000;
  private long refusedValues;
  private volatile Loss loss = transaction -> -1;

  Store(final int valueBytes) {
    this.valueBytes = valueBytes;
    final Thread sweeper = new Thread(this::sweep, "leases");
    sweeper.setDaemon(true);
    sweeper.start();
  }

  void loss(final Loss newLoss) {
    loss = newLoss;
  }

  /** Returns the number of writes that were refused because of the size of a value. */
  synchronized long refusedValues() {
    return refusedValues;
  }

  synchronized void put(final String key, final byte[] value) {
    revision++;
    write(key, value, 0);
    notifyAll();
  }

  synchronized void remove(final String key) {
    revision++;
    delete(key);
    notifyAll();
  }

  synchronized byte[] get(final String key) {
    final Item item = items.get(key);
    return item == null ? null : item.value();
  }

  synchronized int count(final String prefix) {
    return items.subMap(prefix, prefix + '\uffff').size();
  }

  synchronized long largest(final String prefix) {
    long largest = 0;
    for (final Item item : items.subMap(prefix, prefix + '\uffff').values()) {
      largest = Math.max(largest, item.value().length);
    }
    return largest;
  }

  synchronized List<String> keys(final String prefix) {
    return List.copyOf(items.subMap(prefix, prefix + '\uffff').keySet());
  }

  void handle(final HttpExchange exchange) throws IOException {
    final String path = exchange.getRequestURI().getPath();
    final String method = exchange.getRequestMethod();
    if (!path.equals("/api/kv-watch")) {
      Http.sleep(ANSWER_MILLIS);
    }
    if (path.equals("/api/kv-key")) {
      key(exchange);
    } else if (path.equals("/api/kv-range")) {
      range(exchange);
    } else if (path.equals("/api/kv-watch")) {
      watch(exchange);
    } else if (path.equals("/api/kv-txn")) {
      commit(exchange);
    } else if (path.equals("/api/kv-lease")) {
      grant(exchange);
    } else if (path.startsWith("/api/kv-keep/")) {
      keep(exchange, Long.parseLong(path.substring("/api/kv-keep/".length())));
    } else if (path.startsWith("/api/kv-lease-end/") && method.equals("DELETE")) {
      end(exchange, Long.parseLong(path.substring("/api/kv-lease-end/".length())));
    } else {
      Http.answer(exchange, 404, null);
    }
  }

  private void key(final HttpExchange exchange) throws IOException {
    final ObjectNode body;
    synchronized (this) {
      final Item item = items.get(Http.parameter(exchange, "Key"));
      body = item == null ? null : node(item).put("AsOf", revision);
    }
    Http.answer(exchange, body == null ? 404 : 200, body);
  }

  private void range(final HttpExchange exchange) throws IOException {
    final String prefix = Http.parameter(exchange, "Prefix");
    final String after = Http.parameter(exchange, "After");
    final ObjectNode body = Http.object();
    final ArrayNode rows = body.putArray("items");
    synchronized (this) {
      final var found = after.isEmpty() ? items.tailMap(prefix, true) : items.tailMap(after, false);
      int bytes = 0;
      boolean more = false;
      for (final Item item : found.values()) {
        if (!item.key().startsWith(prefix)) {
          break;
        }
        if (rows.size() >= PAGE_ITEMS || bytes > PAGE_BYTES) {
          more = true;
          break;
        }
        bytes += item.value().length;
        rows.add(node(item));
      }
      body.put("MorePages", more).put("AsOf", revision);
    }
    Http.answer(exchange, 200, body);
  }

  private void watch(final HttpExchange exchange) throws IOException {
    final String prefix = Http.parameter(exchange, "Prefix");
    final long after = Long.parseLong(Http.parameter(exchange, "After"));
    final String wait = Http.parameter(exchange, "WaitMs");
    final long until = System.nanoTime() + (wait.isEmpty() ? 0 : Long.parseLong(wait)) * 1_000_000;
    final ObjectNode body = Http.object();
    final ArrayNode rows = body.putArray("events");
    synchronized (this) {
      while (true) {
        addEvents(prefix, after, rows);
        final long leftMillis = (until - System.nanoTime()) / 1_000_000;
        if (!rows.isEmpty() || leftMillis <= 0) {
          break;
        }
        try {
          wait(leftMillis);
        } catch (final InterruptedException error) {
          Thread.currentThread().interrupt();
          break;
        }
      }
      body.put("AsOf", revision);
    }
    Http.answer(exchange, 200, body);
  }

  private void addEvents(final String prefix, final long after, final ArrayNode rows) {
    int first = events.size();
    while (first > 0 && events.get(first - 1).revision() > after) {
      first--;
    }
    for (final Event event : events.subList(first, events.size())) {
      if (event.key().startsWith(prefix)) {
        rows.add(
            event.item() == null
                ? Http.object()
                    .put("Key", event.key())
                    .put("Revision", event.revision())
                    .put("Deleted", true)
                : node(event.item()));
      }
    }
  }

  private void commit(final HttpExchange exchange) throws IOException {
    final JsonNode transaction = Http.body(exchange);
    final long delayMillis = loss.delayMillis(transaction);
    if (delayMillis >= 0) {
      Http.later(delayMillis, () -> apply(transaction));
      Http.later(30_000, exchange::close);
      return;
    }
    final ObjectNode body = apply(transaction);
    final int status = body.path("status").asInt();
    body.remove("status");
    Http.answer(exchange, status, body);
  }

  private synchronized ObjectNode apply(final JsonNode transaction) {
    final JsonNode expect = transaction.path("Expect");
    final JsonNode writes = transaction.path("Writes");
    final JsonNode removals = transaction.path("Remove");
    if (expect.size() + writes.size() + removals.size() > MAX_ENTRIES) {
      return Http.object().put("status", 400);
    }
    boolean holds = true;
    for (final JsonNode row : expect) {
      final Item item = items.get(row.path("Key").asText());
      holds &= (item == null ? 0 : item.revision()) == row.path("Revision").asLong();
    }
    if (!holds) {
      final ObjectNode body = Http.object().put("status", 412);
      final ArrayNode rows = body.putArray("items");
      for (final JsonNode row : expect) {
        final Item item = items.get(row.path("Key").asText());
        if (item != null) {
          rows.add(node(item));
        }
      }
      return body;
    }
    for (final JsonNode row : writes) {
      final String key = row.path("Key").asText();
      if (key.startsWith("op/") || key.startsWith("servers/")) {
        return Http.object().put("status", 403);
      }
      if (value(row).length > valueBytes) {
        refusedValues++;
        return Http.object().put("status", 400).put("Error", "Value above ValueBytes: " + key);
      }
      final long lease = row.path("Lease").asLong();
      if (lease != 0 && !leases.containsKey(lease)) {
        return Http.object().put("status", 404);
      }
    }
    revision++;
    for (final JsonNode row : writes) {
      write(row.path("Key").asText(), value(row), row.path("Lease").asLong());
    }
    for (final JsonNode key : removals) {
      delete(key.asText());
    }
    notifyAll();
    return Http.object().put("status", 200).put("Revision", revision);
  }

  private static byte[] value(final JsonNode row) {
    return Base64.getDecoder().decode(row.path("Value").asText());
  }

  private void write(final String key, final byte[] value, final long lease) {
    final Item before = items.get(key);
    final Item item =
        new Item(key, value, revision, before == null ? revision : before.created(), lease);
    items.put(key, item);
    events.add(new Event(key, item, revision));
  }

  private void delete(final String key) {
    if (items.remove(key) != null) {
      events.add(new Event(key, null, revision));
    }
  }

  private static ObjectNode node(final Item item) {
    return Http.object()
        .put("Key", item.key())
        .put("Value", Base64.getEncoder().encodeToString(item.value()))
        .put("Revision", item.revision())
        .put("Created", item.created())
        .put("Lease", item.lease());
  }

  private void grant(final HttpExchange exchange) throws IOException {
    final long ttl = Math.max(1_000, Http.body(exchange).path("TtlMs").asLong());
    final long id;
    synchronized (this) {
      id = nextLease++;
      final Lease lease = new Lease();
      lease.ttlMillis = ttl;
      lease.endsAt = System.nanoTime() + ttl * 1_000_000;
      leases.put(id, lease);
    }
    Http.answer(exchange, 200, Http.object().put("Lease", id).put("TtlMs", ttl));
  }

  private void keep(final HttpExchange exchange, final long id) throws IOException {
    Http.body(exchange);
    final ObjectNode body;
    synchronized (this) {
      final Lease lease = leases.get(id);
      if (lease == null) {
        body = null;
      } else {
        lease.endsAt = System.nanoTime() + lease.ttlMillis * 1_000_000;
        body = Http.object().put("TtlMs", lease.ttlMillis);
      }
    }
    Http.answer(exchange, body == null ? 404 : 200, body);
  }

  private void end(final HttpExchange exchange, final long id) throws IOException {
    final boolean known;
    synchronized (this) {
      known = leases.containsKey(id);
      expire(id);
    }
    Http.answer(exchange, known ? 200 : 404, null);
  }

  private void expire(final long id) {
    if (leases.remove(id) != null) {
      revision++;
      for (final Item item : List.copyOf(items.values())) {
        if (item.lease() == id) {
          delete(item.key());
        }
      }
      notifyAll();
    }
  }

  private void sweep() {
    while (true) {
      synchronized (this) {
        final long now = System.nanoTime();
        for (final Long id : List.copyOf(leases.keySet())) {
          if (leases.get(id).endsAt - now < 0) {
            expire(id);
          }
        }
        if (events.size() > 200_000) {
          events.subList(0, 100_000).clear();
        }
      }
      Http.sleep(20);
    }
  }
}
