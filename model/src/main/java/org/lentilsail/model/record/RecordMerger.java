package org.lentilsail.model.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lentilsail.model.json.Fault;
import org.lentilsail.model.json.JsonObjectReader;

/** Merges a client's write into the stored record. */
public final class RecordMerger {
  private RecordMerger() {}

  /**
   * Validates a written record, merges it into the stored one and validates the result.
   *
   * @param stored the stored record, empty when it is created
   * @param json the record as written, in any known schema version
   * @param existing all records, to which references must resolve
   * @param writeId ID of the write
   * @return the record to store; an invalid record is rejected with a list of all faults
   */
  public static StoredRecord apply(
      final Optional<StoredRecord> stored,
      final JsonNode json,
      final Records existing,
      final String writeId) {
    final List<Fault> faults = new ArrayList<>();
    final RecordDocument written =
        RecordParser.parse(json, stored.isPresent() ? ReadMode.UPDATE : ReadMode.CREATE, faults);
    faults.addAll(RecordReferences.findFaults(written.key().kind(), written.spec(), existing));
    RecordParser.throwIfFaulty(written.key().toString(), faults);
    final StoredRecord merged = merge(stored, written, writeId);
    final JsonObjectReader spec = new JsonObjectReader("spec", merged.spec(), faults::add);
    RecordsBuilder.readTolerantly(merged, spec);
    RecordParser.throwIfFaulty(written.key() + " after the update", faults);
    return merged;
  }

  private static StoredRecord merge(
      final Optional<StoredRecord> stored, final RecordDocument written, final String writeId) {
    final RecordKind kind = written.key().kind();
    final int version =
        Math.max(written.schemaVersion(), stored.map(StoredRecord::schemaVersion).orElse(1));
    final int targetVersion = Math.min(version, kind.newestVersion());
    final ObjectNode base =
        stored
            .map(it -> inVersion(kind, it.spec(), it.schemaVersion(), targetVersion))
            .orElseGet(JsonNodeFactory.instance::objectNode);
    final ObjectNode change =
        inVersion(kind, written.spec(), written.schemaVersion(), targetVersion);
    final Map<String, Set<String>> known =
        new HashMap<>(SchemaFields.of(kind, written.schemaVersion(), targetVersion));
    if (written.schemaVersion() == 1
        && base.path("maxUnavailable").hasNonNull("percent")
        && !change.has("maxUnavailable")) {
      // A client of version 1 does not see a percentage, so omitting it does not remove it.
      known.remove("maxUnavailable");
    }
    return new StoredRecord(
        written.key(),
        version,
        mergeFields(base, change, known),
        writeId,
        stored.map(StoredRecord::nextEarlierWriteIds).orElse(List.of()));
  }

  private static ObjectNode inVersion(
      final RecordKind kind, final ObjectNode spec, final int from, final int targetVersion) {
    return from < targetVersion ? SchemaConversion.upgrade(kind, spec) : spec.deepCopy();
  }

  private static ObjectNode mergeFields(
      final ObjectNode base, final ObjectNode change, final Map<String, Set<String>> known) {
    final ObjectNode result = base.deepCopy();
    known.forEach(
        (name, inner) -> {
          if (!inner.isEmpty() && result.get(name) instanceof ObjectNode outer) {
            outer.remove(inner);
            if (outer.isEmpty()) {
              result.remove(name);
            }
          } else {
            result.remove(name);
          }
        });
    change.properties().forEach(field -> mergeField(result, field.getKey(), field.getValue()));
    return result;
  }

  private static void mergeField(
      final ObjectNode result, final String name, final JsonNode written) {
    if (written instanceof ObjectNode values) {
      final ObjectNode merged =
          result.get(name) instanceof ObjectNode kept
              ? kept
              : JsonNodeFactory.instance.objectNode();
      merged.setAll(values.deepCopy());
      final List<String> removed = new ArrayList<>();
      values
          .properties()
          .forEach(
              inner -> {
                if (inner.getValue().isNull()) {
                  removed.add(inner.getKey());
                }
              });
      merged.remove(removed);
      result.set(name, merged);
    } else if (written.isNull()) {
      result.remove(name);
    } else {
      result.set(name, written);
    }
  }
}
