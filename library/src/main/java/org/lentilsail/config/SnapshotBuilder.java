package org.lentilsail.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.fleet.FleetCodec;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.record.RecordKey;
import org.lentilsail.model.record.Records;
import org.lentilsail.model.record.RecordsBuilder;
import org.lentilsail.platform.KeyChange;
import org.tinylog.Logger;

/**
 * Builds snapshots from the platform's values. Parts that have not changed are not parsed again,
 * and a value that cannot be parsed leaves its part unchanged. Not thread-safe.
 */
final class SnapshotBuilder {
  /** Key of the fleet document of this daemon's region. */
  private final String fleetKey;

  /** Revisions of the parsed records by key. */
  private Map<String, Long> recordRevisions = Map.of();

  private Records records = Records.empty();

  /** Reasons why stored records could not be parsed, by key. */
  private Map<String, String> unreadable = Map.of();

  private FleetDocument fleet = FleetDocument.empty();

  /** Revision of the parsed fleet document, 0 without one. */
  private long fleetRevision;

  SnapshotBuilder(final String region) {
    this.fleetKey = "control/fleet/" + region;
  }

  ConfigurationSnapshot build(final long revision, final Map<String, KeyChange> values) {
    readRecords(values);
    readFleet(values.get(fleetKey));
    return new ConfigurationSnapshot(revision, records, fleet, fleetRevision, terms(values));
  }

  Map<String, String> unreadable() {
    return unreadable;
  }

  private void readRecords(final Map<String, KeyChange> values) {
    final Map<String, Long> revisions = new HashMap<>();
    values.forEach(
        (key, change) -> {
          if (key.startsWith(RecordKey.PREFIX) && change.value().isPresent()) {
            revisions.put(key, change.revision());
          }
        });
    if (!revisions.equals(recordRevisions)) {
      final RecordsBuilder builder = new RecordsBuilder();
      revisions.keySet().forEach(key -> builder.add(key, values.get(key).value().orElseThrow()));
      records = builder.build();
      unreadable = builder.unreadable();
      recordRevisions = revisions;
      unreadable.forEach((key, reason) -> Logger.warn("config: ignored {}: {}", key, reason));
    }
  }

  private void readFleet(final KeyChange change) {
    if (change == null || change.value().isEmpty()) {
      fleet = FleetDocument.empty();
      fleetRevision = 0;
    } else if (change.revision() != fleetRevision) {
      try {
        fleet = FleetCodec.read(change.value().get());
        fleetRevision = change.revision();
      } catch (final LentilsailException error) {
        Logger.error("config: {}; the last valid document stays in effect", error.getMessage());
      }
    }
  }

  private static Map<Integer, KeyTerm> terms(final Map<String, KeyChange> values) {
    final Map<Integer, KeyTerm> result = new HashMap<>();
    values.forEach(
        (key, change) -> {
          if (key.startsWith(KeyTermCodec.PREFIX) && change.value().isPresent()) {
            readTerm(key, change.value().get(), result);
          }
        });
    return result;
  }

  private static void readTerm(
      final String key, final JsonNode value, final Map<Integer, KeyTerm> terms) {
    final KeyTerm term = KeyTermCodec.read(value);
    if (key.equals(KeyTermCodec.PREFIX + term.range())) {
      terms.put(term.range(), term);
    } else {
      Logger.warn("config: ignored {}: it names range {}", key, term.range());
    }
  }
}
