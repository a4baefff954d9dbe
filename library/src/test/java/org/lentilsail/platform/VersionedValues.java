package org.lentilsail.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** Values in memory with one counter of revisions, as the key-value service keeps them. */
public final class VersionedValues {
  private final TreeMap<String, VersionedValue> values = new TreeMap<>();
  private long revision;

  /**
   * Finds a value.
   *
   * @param key its key
   * @return the value
   */
  public Optional<VersionedValue> get(final String key) {
    return Optional.ofNullable(values.get(key));
  }

  /**
   * Lists values.
   *
   * @param prefix prefix of their keys
   * @return the values, ordered by key, and the current revision
   */
  public Listing list(final String prefix) {
    final List<VersionedValue> found =
        values.values().stream().filter(value -> value.key().startsWith(prefix)).toList();
    return new Listing(found, revision);
  }

  /**
   * Writes or removes a value if it has the expected revision.
   *
   * @param key its key
   * @param expected the expected revision, 0 for no value
   * @param value the new value, empty to remove it
   * @return the result
   */
  public WriteResult compareAndSet(
      final String key, final long expected, final Optional<JsonNode> value) {
    final Optional<VersionedValue> current = get(key);
    final long actual = current.map(VersionedValue::revision).orElse(0L);
    if (actual != expected) {
      return new WriteResult(false, actual, current);
    }
    revision++;
    value.ifPresentOrElse(
        json -> values.put(key, new VersionedValue(key, json, revision)), () -> values.remove(key));
    return new WriteResult(true, revision, Optional.empty());
  }
}
