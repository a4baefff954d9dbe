package org.lentilsail.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.lentilsail.model.time.TimeSource;

/** The state of a fake platform, shared by its clients. */
final class FakeStore {
  final TimeSource time;
  final TreeMap<String, VersionedValue> values = new TreeMap<>();
  final List<KeyChange> log = new ArrayList<>();
  final Map<String, FakeLease> leases = new HashMap<>();
  final Map<String, String> leaseOfKey = new HashMap<>();
  final List<FakeWatch> watches = new ArrayList<>();
  List<VmReport> vms = List.of();
  long revision;
  long compactedRevision;
  int calls;

  FakeStore(final TimeSource time) {
    this.time = time;
  }

  WriteResult write(
      final String key,
      final long expected,
      final Optional<JsonNode> value,
      final Optional<String> lease) {
    expire();
    final VersionedValue current = values.get(key);
    final long currentRevision = current == null ? 0 : current.revision();
    if (currentRevision != expected || (value.isEmpty() && current == null)) {
      return new WriteResult(false, currentRevision, Optional.ofNullable(current));
    }
    change(key, value);
    leaseOfKey.remove(key);
    lease.ifPresent(id -> leaseOfKey.put(key, id));
    return new WriteResult(true, revision, Optional.empty());
  }

  WatchResult changes(final String prefix, final long after) {
    final boolean complete = after >= compactedRevision && after <= revision;
    return new WatchResult(
        log.stream()
            .filter(change -> complete && change.revision() > after)
            .filter(change -> change.key().startsWith(prefix))
            .toList(),
        revision,
        complete);
  }

  void compactChanges() {
    compactedRevision = revision;
    log.clear();
  }

  void expire() {
    final long now = time.nanos();
    leases.values().stream().filter(lease -> now - lease.expiryNanos() >= 0).toList().stream()
        .map(FakeLease::id)
        .forEach(this::revoke);
  }

  void revoke(final String lease) {
    leases.remove(lease);
    leaseOfKey.entrySet().stream()
        .filter(entry -> entry.getValue().equals(lease))
        .map(Map.Entry::getKey)
        .toList()
        .forEach(
            key -> {
              leaseOfKey.remove(key);
              change(key, Optional.empty());
            });
  }

  void renew(final String lease, final Duration timeToLive) {
    leases.put(lease, new FakeLease(lease, timeToLive, time.nanos() + timeToLive.toNanos()));
  }

  void completeDueWatches() {
    expire();
    for (final FakeWatch watch : List.copyOf(watches)) {
      final WatchResult result = changes(watch.prefix(), watch.after());
      final boolean due =
          !result.complete()
              || !result.changes().isEmpty()
              || time.nanos() - watch.deadlineNanos() >= 0;
      if (due && watches.remove(watch)) {
        watch.reply().complete(result);
      }
    }
  }

  void closeWatches(final FakePlatform client) {
    for (final FakeWatch watch : List.copyOf(watches)) {
      if (watch.client() == client && watches.remove(watch)) {
        watch.reply().completeExceptionally(FakePlatform.unavailable());
      }
    }
  }

  private void change(final String key, final Optional<JsonNode> value) {
    revision++;
    value.ifPresentOrElse(
        json -> values.put(key, new VersionedValue(key, json, revision)), () -> values.remove(key));
    log.add(new KeyChange(key, value, revision));
  }

  /** A lease. */
  record FakeLease(String id, Duration timeToLive, long expiryNanos) {}

  /** A pending watch. */
  record FakeWatch(
      FakePlatform client,
      String prefix,
      long after,
      long deadlineNanos,
      CompletableFuture<WatchResult> reply) {}
}
