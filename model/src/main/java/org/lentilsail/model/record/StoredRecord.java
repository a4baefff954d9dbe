package org.lentilsail.model.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.lentilsail.model.json.CheckedObject;
import org.lentilsail.model.json.Fault;

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
    RecordKey key, int schemaVersion, ObjectNode spec, String mark, List<String> earlierMarks) {
  /** Number of earlier marks that are kept. */
  public static final int EARLIER_MARKS = 8;

  /** Copies the list, so that the record cannot change. */
  public StoredRecord {
    earlierMarks = List.copyOf(earlierMarks);
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
    final CheckedObject envelope = new CheckedObject("", json, faults::add);
    final String remedy = "the stored value must be written again";
    envelope.requiredText("kind", key.kind().text()::equals, remedy);
    envelope.requiredText("name", key.name()::equals, remedy);
    final int version = (int) envelope.integer("schemaVersion", 1, 1, Integer.MAX_VALUE);
    final String mark = envelope.text("mark", "", text -> true, remedy);
    final List<String> marks = new ArrayList<>();
    envelope.list("earlierMarks").forEach(earlier -> marks.add(earlier.asText()));
    final JsonNode spec = envelope.node("spec").orElse(JsonNodeFactory.instance.nullNode());
    if (!spec.isObject()) {
      envelope.fault("spec", remedy);
    }
    RecordParser.refuse("stored " + key, faults);
    return new StoredRecord(key, version, (ObjectNode) spec, mark, marks);
  }

  /** Returns the value to store. */
  public ObjectNode json() {
    final ObjectNode json = new RecordDocument(key, schemaVersion, spec).json();
    json.put("mark", mark);
    final ArrayNode marks = json.putArray("earlierMarks");
    earlierMarks.forEach(marks::add);
    return json;
  }

  /** Tells whether this record or one of the kept writes before it carries the mark. */
  public boolean carries(final String wanted) {
    return mark.equals(wanted) || earlierMarks.contains(wanted);
  }

  /** Returns the marks that the next write keeps. */
  List<String> marksForNext() {
    final List<String> marks = new ArrayList<>(List.of(mark));
    marks.addAll(earlierMarks);
    return marks.subList(0, Math.min(marks.size(), EARLIER_MARKS));
  }

  /**
   * Converts the record for a reader.
   *
   * @param version version that the reader knows
   * @return the record in that version
   */
  public RecordDocument as(final int version) {
    return new RecordDocument(
        key, version, SchemaConversion.forReader(key.kind(), spec, schemaVersion, version));
  }
}
