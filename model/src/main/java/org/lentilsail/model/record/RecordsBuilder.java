package org.lentilsail.model.record;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.json.Fault;
import org.lentilsail.model.json.JsonObjectReader;

/**
 * Builds the records from stored documents. Documents that cannot be read are skipped and reported.
 */
public final class RecordsBuilder {
  private final Map<String, PoolSpec> pools = new HashMap<>();

  private final Map<String, ServiceSpec> services = new HashMap<>();

  private final Map<String, BudgetSpec> budgets = new HashMap<>();

  private final Map<String, WaveSpec> waves = new HashMap<>();

  private final Map<String, HoldSpec> holds = new HashMap<>();

  /** Reasons why documents could not be read, by key in the platform's store. */
  private final Map<String, String> unreadable = new TreeMap<>();

  /**
   * Adds a stored document. Keys that do not start with {@link RecordKey#PREFIX} are ignored.
   *
   * @param platformKey key in the platform's store
   * @param json the stored value
   * @return this builder
   */
  public RecordsBuilder add(final String platformKey, final JsonNode json) {
    if (platformKey.startsWith(RecordKey.PREFIX)) {
      RecordKey.parse(platformKey)
          .ifPresentOrElse(
              key -> read(key, json),
              () -> unreadable.put(platformKey, "the key names no known kind of record"));
    }
    return this;
  }

  /** Returns the records that could be read. */
  public Records build() {
    return new Records(pools, services, budgets, waves, holds);
  }

  /** Returns the reasons why documents could not be read, by key in the platform's store. */
  public Map<String, String> unreadable() {
    return Map.copyOf(unreadable);
  }

  private void read(final RecordKey key, final JsonNode json) {
    try {
      final StoredRecord stored = StoredRecord.parse(key, json);
      final List<Fault> faults = new ArrayList<>();
      final Object spec =
          readTolerantly(stored, new JsonObjectReader("spec", stored.spec(), faults::add));
      RecordParser.throwIfFaulty("stored " + key, faults);
      put(key.name(), spec);
    } catch (final LentilsailException error) {
      unreadable.put(key.platformKey(), error.getMessage());
    }
  }

  private void put(final String name, final Object spec) {
    if (spec instanceof PoolSpec pool) {
      pools.put(name, pool);
    } else if (spec instanceof ServiceSpec service) {
      services.put(name, service);
    } else if (spec instanceof BudgetSpec budget) {
      budgets.put(name, budget);
    } else if (spec instanceof WaveSpec wave) {
      waves.put(name, wave);
    } else if (spec instanceof HoldSpec hold) {
      holds.put(name, hold);
    }
  }

  /** Reads a stored spec in the newest known schema version and ignores unknown fields. */
  static Object readTolerantly(final StoredRecord stored, final JsonObjectReader spec) {
    final RecordKind kind = stored.key().kind();
    final int version = Math.min(stored.schemaVersion(), kind.newestVersion());
    return SpecReaders.read(kind, stored.key().name(), spec, version, ReadMode.STORED);
  }
}
