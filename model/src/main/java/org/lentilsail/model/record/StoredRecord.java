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
 * A record as the platform stores it.
 *
 * @param key kind and name
 * @param schemaVersion highest version that any client has written
 * @param spec the spec in that version, with fields that this program may not know
 * @param mark mark of the write that stored it
 * @param earlierMarks marks of the writes before, the latest first, at most {@link #EARLIER_MARKS}
 */
public record StoredRecord(
    RecordKey key,
    int schemaVersion,
    ObjectNode spec,
    String writeId,
    List<String> earlierWriteIds) {
  /** Number of earlier marks that are kept. */
  public static final int MAX_EARLIER_WRITE_IDS = 8;

  /** Copies the list, so that the record cannot change. */
  public StoredRecord {
    earlierWriteIds = List.copyOf(earlierWriteIds);
  }

  /**
   * Reads a stored record. Fields of the envelope that are not known are ignored.
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
    final String mark = envelope.text("mark", "", text -> true, remedy);
    final List<String> marks = new ArrayList<>();
    envelope.list("earlierMarks").forEach(earlier -> marks.add(earlier.asText()));
    final JsonNode spec = envelope.node("spec").orElse(JsonNodeFactory.instance.nullNode());
    if (!spec.isObject()) {
      envelope.addFault("spec", remedy);
    }
    RecordParser.throwIfFaulty("stored " + key, faults);
    return new StoredRecord(key, version, (ObjectNode) spec, mark, marks);
  }

  /** Returns the value to store. */
  public ObjectNode json() {
    final ObjectNode json = new RecordDocument(key, schemaVersion, spec).json();
    json.put("mark", writeId);
    final ArrayNode marks = json.putArray("earlierMarks");
    earlierWriteIds.forEach(marks::add);
    return json;
  }

  /** Tells whether this record or one of the kept writes before it carries the mark. */
  public boolean containsWriteId(final String wanted) {
    return writeId.equals(wanted) || earlierWriteIds.contains(wanted);
  }

  /** Returns the marks that the next write keeps. */
  List<String> nextEarlierWriteIds() {
    final List<String> marks = new ArrayList<>(List.of(writeId));
    marks.addAll(earlierWriteIds);
    return marks.subList(0, Math.min(marks.size(), MAX_EARLIER_WRITE_IDS));
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
