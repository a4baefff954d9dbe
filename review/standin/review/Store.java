package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: items, leases and watches, in memory. */
final class Store {
  /** Time of an answer in ms. */
  private static final long ANSWER_MILLIS = 4;

  private static final int PAGE_ITEMS = 500;

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision = 1;
  private long lastLease = 100;

  private record Item(String key, String value, long revision, long created, long lease) {
    Map<String, Object> row() {
      return Json.of(
          "Key", key, "Value", value, "Revision", revision, "Created", created, "Lease", lease);
    }
  }

  private record Event(String key, long revision, Map<String, Object> row) {}

  private static final class Lease {
    private final long ttlMillis;
    private long endsAt;

    Lease(final long ttlMillis) {
      this.ttlMillis = ttlMillis;
      renew();
    }

    void renew() {
      endsAt = System.nanoTime() + ttlMillis * 1_000_000;
    }
  }

  Store() {
    final Thread thread = new Thread(this::expireLeases, "leases");
    thread.setDaemon(true);
    thread.start();
  }

  /** Writes an item, as the operator and the workers do. */
  synchronized long put(final String key, final Object value) {
    revision++;
    write(key, encode(Json.write(value)), 0);
    notifyAll();
    return revision;
  }

  /** Removes an item. */
  synchronized void delete(final String key) {
    revision++;
    remove(key);
    notifyAll();
  }

  /** Returns the text of an item, empty if there is none. */
  synchronized String get(final String key) {
    final Item item = items.get(key);
    return item == null
        ? ""
        : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
  }

  /** Answers a call. */
  Http.Answer answer(final String path, final Map<String, String> query, final String body)
      throws InterruptedException {
    Thread.sleep(ANSWER_MILLIS);
    if (path.equals("/api/kv-key")) {
      return key(query.get("Key"));
    }
    if (path.equals("/api/kv-range")) {
      return range(query.get("Prefix"), query.getOrDefault("After", ""));
    }
    if (path.equals("/api/kv-watch")) {
      return watch(
          query.get("Prefix"),
          Long.parseLong(query.get("After")),
          Long.parseLong(query.getOrDefault("WaitMs", "0")));
    }
    if (path.equals("/api/kv-txn")) {
      return transaction(Json.object(body));
    }
    if (path.equals("/api/kv-lease")) {
      return grant(Json.number(Json.object(body), "TtlMs"));
    }
    if (path.startsWith("/api/kv-keep/")) {
      return keep(lastNumber(path));
    }
    if (path.startsWith("/api/kv-lease-end/")) {
      return end(lastNumber(path));
    }
    return new Http.Answer(404, null);
  }

  private static long lastNumber(final String path) {
    return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
  }

  private synchronized Http.Answer key(final String key) {
    final Item item = items.get(key);
    if (item == null) {
      return new Http.Answer(404, null);
    }
    final Map<String, Object> row = item.row();
    row.put("AsOf", revision);
    return new Http.Answer(200, row);
  }

  private synchronized Http.Answer range(final String prefix, final String after) {
    final List<Object> rows = new ArrayList<>();
    boolean more = false;
    for (final Item item : items.tailMap(prefix).values()) {
      if (!item.key().startsWith(prefix)) {
        break;
      }
      if (item.key().compareTo(after) <= 0) {
        continue;
      }
      if (rows.size() == PAGE_ITEMS) {
        more = true;
        break;
      }
      rows.add(item.row());
    }
    return new Http.Answer(200, Json.of("items", rows, "MorePages", more, "AsOf", revision));
  }

  private synchronized Http.Answer watch(
      final String prefix, final long after, final long waitMillis) throws InterruptedException {
    final long until = System.nanoTime() + waitMillis * 1_000_000;
    while (true) {
      final List<Object> rows = new ArrayList<>();
      for (int i = history.size() - 1; i >= 0 && history.get(i).revision() > after; i--) {
        if (history.get(i).key().startsWith(prefix)) {
          rows.add(0, history.get(i).row());
        }
      }
      final long left = (until - System.nanoTime()) / 1_000_000;
      if (!rows.isEmpty() || left <= 0) {
        return new Http.Answer(200, Json.of("events", rows, "AsOf", revision));
      }
      wait(left);
    }
  }

  private synchronized Http.Answer transaction(final Map<String, Object> body) {
    final List<Map<String, Object>> conditions = Json.list(body, "Expect");
    boolean holds = true;
    final List<Object> current = new ArrayList<>();
    for (final Map<String, Object> condition : conditions) {
      final Item item = items.get(Json.text(condition, "Key"));
      holds &= (item == null ? 0 : item.revision()) == Json.number(condition, "Revision");
      if (item != null) {
        current.add(item.row());
      }
    }
    if (!holds) {
      return new Http.Answer(412, Json.of("items", current));
    }
    final List<Map<String, Object>> writes = Json.list(body, "Writes");
    for (final Map<String, Object> write : writes) {
      if (Json.number(write, "Lease") != 0 && !leases.containsKey(Json.number(write, "Lease"))) {
        return new Http.Answer(404, null);
      }
    }
    revision++;
    writes.forEach(
        write ->
            write(
                Json.text(write, "Key"), Json.text(write, "Value"), Json.number(write, "Lease")));
    Json.<String>list(body, "Remove").forEach(this::remove);
    notifyAll();
    return new Http.Answer(200, Json.of("Revision", revision));
  }

  private synchronized Http.Answer grant(final long ttlMillis) {
    lastLease++;
    leases.put(lastLease, new Lease(Math.max(1_000, ttlMillis)));
    return new Http.Answer(
        200, Json.of("Lease", lastLease, "TtlMs", leases.get(lastLease).ttlMillis));
  }

  private synchronized Http.Answer keep(final long id) {
    final Lease lease = leases.get(id);
    if (lease == null) {
      return new Http.Answer(404, null);
    }
    lease.renew();
    return new Http.Answer(200, Json.of("TtlMs", lease.ttlMillis));
  }

  private synchronized Http.Answer end(final long id) {
    if (leases.remove(id) == null) {
      return new Http.Answer(404, null);
    }
    removeItemsOf(id);
    return new Http.Answer(200, Json.of());
  }

  private void expireLeases() {
    while (true) {
      synchronized (this) {
        final long now = System.nanoTime();
        for (final long id : List.copyOf(leases.keySet())) {
          if (leases.get(id).endsAt < now) {
            leases.remove(id);
            removeItemsOf(id);
          }
        }
      }
      sleep();
    }
  }

  private static void sleep() {
    try {
      Thread.sleep(10);
    } catch (final InterruptedException error) {
      throw new IllegalStateException(error);
    }
  }

  private void removeItemsOf(final long lease) {
    final List<String> keys =
        items.values().stream().filter(item -> item.lease() == lease).map(Item::key).toList();
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::remove);
      notifyAll();
    }
  }

  private void write(final String key, final String value, final long lease) {
    final Item known = items.get(key);
    final long created = known == null ? revision : known.created();
    final Item item = new Item(key, value, revision, created, lease);
    items.put(key, item);
    history.add(new Event(key, revision, item.row()));
  }

  private void remove(final String key) {
    if (items.remove(key) != null) {
      history.add(
          new Event(key, revision, Json.of("Key", key, "Revision", revision, "Deleted", true)));
    }
  }

  private static String encode(final String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }
}
