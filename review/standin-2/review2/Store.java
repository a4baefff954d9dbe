package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

/** The platform's store: items with revisions, transactions, watches and leases. */
final class Store implements AutoCloseable {
  private static final int PAGE_ITEMS = 500;
  private static final long ANSWER_MILLIS = 4;
  private static final int VALUE_BYTES = 1_048_576;

  /** Fault of a write: it is executed and answered. */
  static final long NO_FAULT = -1;

  private record Item(String key, byte[] value, long revision, long created, long lease) {}

  private record Event(String key, Item item, long revision) {}

  private record Lease(long ttlMillis, long expiresAt) {}

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(
          2,
          task -> {
            final Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
          });
  private final HttpServer server;
  private final Recorder recorder;
  private long revision = 100;
  private long nextLease = 1000;

  /** Returns for a transaction after how many ms it is executed without an answer, or NO_FAULT. */
  private volatile ToLongFunction<JsonNode> lostWrites = body -> NO_FAULT;

  Store(final InetAddress address, final Recorder recorder) throws IOException {
    this.recorder = recorder;
    server = new HttpServer(address, this::handle, new HttpServer.Link());
    timer.scheduleAtFixedRate(this::expireLeases, 10, 10, TimeUnit.MILLISECONDS);
  }

  String address() {
    return server.address();
  }

  void lostWrites(final ToLongFunction<JsonNode> fault) {
    lostWrites = fault;
  }

  /** Writes an item as the operator or a worker does. */
  synchronized void put(final String key, final JsonNode value) {
    revision++;
    set(key, Json.write(value), 0);
    notifyAll();
  }

  synchronized void delete(final String key) {
    revision++;
    unset(key);
    notifyAll();
  }

  /** Returns the value of an item as text, empty if there is none. */
  synchronized String text(final String key) {
    final Item item = items.get(key);
    return item == null ? "" : new String(item.value(), java.nio.charset.StandardCharsets.UTF_8);
  }

  @Override
  public void close() throws IOException {
    timer.shutdownNow();
    server.close();
  }

  private HttpServer.Response handle(final HttpServer.Request request) throws Exception {
    final String path = request.path();
    if (path.equals("/api/kv-watch")) {
      return watch(request);
    }
    Thread.sleep(ANSWER_MILLIS);
    if (path.startsWith("/api/kv-keep/")) {
      return keep(Long.parseLong(path.substring("/api/kv-keep/".length())));
    }
    if (path.startsWith("/api/kv-lease-end/")) {
      end(Long.parseLong(path.substring("/api/kv-lease-end/".length())));
      return HttpServer.Response.json(200, Json.object());
    }
    return switch (path) {
      case "/api/kv-key" -> key(request.query().get("Key"));
      case "/api/kv-range" ->
          range(request.query().get("Prefix"), request.query().getOrDefault("After", ""));
      case "/api/kv-lease" -> grant(Json.read(request.body()).path("TtlMs").asLong());
      case "/api/kv-txn" -> transaction(Json.read(request.body()));
      default -> HttpServer.Response.of(404);
    };
  }

  private HttpServer.Response transaction(final JsonNode body) {
    final long lateMillis = lostWrites.applyAsLong(body);
    if (lateMillis == NO_FAULT) {
      return execute(body);
    }
    timer.schedule(
        () -> {
          final HttpServer.Response late = execute(body);
          recorder.log("store executes a lost write late: %d %s", late.status(), keys(body));
        },
        lateMillis,
        TimeUnit.MILLISECONDS);
    recorder.log("store leaves a write without answer for %d ms: %s", lateMillis, keys(body));
    return null;
  }

  static List<String> keys(final JsonNode body) {
    final List<String> keys = new ArrayList<>();
    body.path("Writes").forEach(row -> keys.add(row.path("Key").asText()));
    return keys;
  }

  private synchronized HttpServer.Response execute(final JsonNode body) {
    for (final JsonNode row : body.path("Expect")) {
      final Item item = items.get(row.path("Key").asText());
      if ((item == null ? 0 : item.revision()) != row.path("Revision").asLong()) {
        return conflict(body);
      }
    }
    for (final JsonNode row : body.path("Writes")) {
      final int bytes = row.path("Value").asText().length() / 4 * 3;
      if (bytes > VALUE_BYTES) {
        recorder.log("store refuses %d bytes for %s", bytes, row.path("Key").asText());
        return HttpServer.Response.of(400);
      }
      final long lease = row.path("Lease").asLong(0);
      if (lease != 0 && !leases.containsKey(lease)) {
        return HttpServer.Response.of(404);
      }
    }
    revision++;
    for (final JsonNode row : body.path("Writes")) {
      set(
          row.path("Key").asText(),
          Base64.getDecoder().decode(row.path("Value").asText()),
          row.path("Lease").asLong(0));
    }
    body.path("Remove").forEach(key -> unset(key.asText()));
    notifyAll();
    return HttpServer.Response.json(200, Json.object().put("Revision", revision));
  }

  private HttpServer.Response conflict(final JsonNode body) {
    final ObjectNode answer = Json.object();
    final var rows = answer.putArray("items");
    for (final JsonNode row : body.path("Expect")) {
      final Item item = items.get(row.path("Key").asText());
      if (item != null) {
        rows.add(row(item));
      }
    }
    return HttpServer.Response.json(412, answer);
  }

  private void set(final String key, final byte[] value, final long lease) {
    final Item before = items.get(key);
    final Item item =
        new Item(key, value, revision, before == null ? revision : before.created(), lease);
    items.put(key, item);
    history.add(new Event(key, item, revision));
  }

  private void unset(final String key) {
    if (items.remove(key) != null) {
      history.add(new Event(key, null, revision));
    }
  }

  private synchronized HttpServer.Response key(final String key) {
    final Item item = items.get(key);
    return item == null
        ? HttpServer.Response.of(404)
        : HttpServer.Response.json(200, row(item).put("AsOf", revision));
  }

  private synchronized HttpServer.Response range(final String prefix, final String after) {
    final ObjectNode answer = Json.object();
    final var rows = answer.putArray("items");
    boolean more = false;
    for (final Item item :
        items.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).values()) {
      if (!item.key().startsWith(prefix)) {
        break;
      }
      if (rows.size() == PAGE_ITEMS) {
        more = true;
        break;
      }
      rows.add(row(item));
    }
    return HttpServer.Response.json(200, answer.put("MorePages", more).put("AsOf", revision));
  }

  private synchronized HttpServer.Response watch(final HttpServer.Request request)
      throws InterruptedException {
    final String prefix = request.query().get("Prefix");
    final long after = Long.parseLong(request.query().get("After"));
    final long until =
        System.nanoTime() + Long.parseLong(request.query().get("WaitMs")) * 1_000_000;
    while (true) {
      final ObjectNode answer = Json.object();
      final var events = answer.putArray("events");
      for (int i = firstAfter(after); i < history.size(); i++) {
        final Event event = history.get(i);
        if (event.key().startsWith(prefix)) {
          events.add(
              event.item() == null
                  ? Json.object()
                      .put("Key", event.key())
                      .put("Revision", event.revision())
                      .put("Deleted", true)
                  : row(event.item()));
        }
      }
      final long left = (until - System.nanoTime()) / 1_000_000;
      if (!events.isEmpty() || left <= 0) {
        return HttpServer.Response.json(200, answer.put("AsOf", revision));
      }
      wait(left);
    }
  }

  private int firstAfter(final long after) {
    int first = history.size();
    while (first > 0 && history.get(first - 1).revision() > after) {
      first--;
    }
    return first;
  }

  private synchronized HttpServer.Response grant(final long ttlMillis) {
    nextLease++;
    leases.put(nextLease, new Lease(ttlMillis, System.nanoTime() + ttlMillis * 1_000_000));
    return HttpServer.Response.json(
        200, Json.object().put("Lease", nextLease).put("TtlMs", ttlMillis));
  }

  private synchronized HttpServer.Response keep(final long id) {
    final Lease lease = leases.get(id);
    if (lease == null) {
      return HttpServer.Response.of(404);
    }
    leases.put(id, new Lease(lease.ttlMillis(), System.nanoTime() + lease.ttlMillis() * 1_000_000));
    return HttpServer.Response.json(200, Json.object().put("TtlMs", lease.ttlMillis()));
  }

  private synchronized void end(final long id) {
    if (leases.remove(id) == null) {
      return;
    }
    revision++;
    for (final Item item : List.copyOf(items.values())) {
      if (item.lease() == id) {
        unset(item.key());
      }
    }
    notifyAll();
  }

  private synchronized void expireLeases() {
    final long now = System.nanoTime();
    for (final Map.Entry<Long, Lease> entry : List.copyOf(leases.entrySet())) {
      if (now > entry.getValue().expiresAt()) {
        end(entry.getKey());
      }
    }
  }

  private static ObjectNode row(final Item item) {
    return Json.object()
        .put("Key", item.key())
        .put("Value", Base64.getEncoder().encodeToString(item.value()))
        .put("Revision", item.revision())
        .put("Created", item.created())
        .put("Lease", item.lease());
  }
}
