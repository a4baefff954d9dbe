package org.lentilsail.model.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.lentilsail.model.json.Fault;
import org.lentilsail.model.json.JsonObjectReader;

/**
 * A record as stored in the platform's key-value store.
 *
 * @param key kind and name
 * @param schemaVersion highest schema version that any client has written
 * @param spec the spec in that version; it may have fields that are unknown to this program
 * @param writeId ID of the write that stored it
 * @param earlierWriteIds IDs of the previous writes, newest first, at most {@link
 *     #MAX_EARLIER_WRITE_IDS}
 */
public record StoredRecord(
    RecordKey key,
    int schemaVersion,
    ObjectNode spec,
    String writeId,
    List<String> earlierWriteIds) {
  /** Maximum number of IDs of previous writes that are stored. */
  public static final int MAX_EARLIER_WRITE_IDS = 8;

  /** Copies the list to make the record immutable. */
  public StoredRecord {
    earlierWriteIds = List.copyOf(earlierWriteIds);
  }

  /**
   * Parses a stored record. Unknown fields of the envelope are ignored.
   *
   * @param key key under which it is stored
   * @param json the stored value
   * @return the record
   */
  public static StoredRecord parse(final RecordKey key, final JsonNode json) {
    final List<Fault> faults = new ArrayList<>();
    final JsonObjectReader envelope = new JsonObjectReader("", json, faults::add);
    final String remedy = "the stored value must be written again";
    envelope.requiredText("kind", key.kind().text()::equals, remedy);
    envelope.requiredText("name", key.name()::equals, remedy);
    final int version = (int) envelope.integer("schemaVersion", 1, 1, Integer.MAX_VALUE);
    final String writeId = envelope.text("mark", "", text -> true, remedy);
    final List<String> previousIds = new ArrayList<>();
    envelope.list("earlierMarks").forEach(previous -> previousIds.add(previous.asText()));
    final JsonNode spec = envelope.node("spec").orElse(JsonNodeFactory.instance.nullNode());
    if (!spec.isObject()) {
      envelope.addFault("spec", remedy);
    }
    RecordParser.throwIfFaulty("stored " + key, faults);
    return new StoredRecord(key, version, (ObjectNode) spec, writeId, previousIds);
  }

  /** Returns the value to store. */
  public ObjectNode json() {
    final ObjectNode json = new RecordDocument(key, schemaVersion, spec).json();
    json.put("mark", writeId);
    final ArrayNode previousIds = json.putArray("earlierMarks");
    earlierWriteIds.forEach(previousIds::add);
    return json;
  }

  /**
   * Returns whether an ID belongs to the write that stored this record or to a recorded previous
   * write.
   */
  public boolean containsWriteId(final String id) {
    return writeId.equals(id) || earlierWriteIds.contains(id);
  }

  /** Returns the IDs of previous writes that the next write stores. */
  List<String> nextEarlierWriteIds() {
    final List<String> previousIds = new ArrayList<>(List.of(writeId));
    previousIds.addAll(earlierWriteIds);
    return previousIds.subList(0, Math.min(previousIds.size(), MAX_EARLIER_WRITE_IDS));
  }

  /**
   * Converts the record for a reader.
   *
   * @param version version that the reader knows
   * @return the record in that version
   */
  public RecordDocument toVersion(final int version) {
    return new RecordDocument(
        key, version, SchemaConversion.forReader(key.kind(), spec, schemaVersion, version));
  }
}
