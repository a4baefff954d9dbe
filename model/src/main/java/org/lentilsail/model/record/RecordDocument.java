package org.lentilsail.model.record;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A record as a client writes or reads it.
 *
 * @param key kind and name
 * @param schemaVersion schema version of the spec
 * @param spec the spec in that version; explicit nulls are kept
 */
public record RecordDocument(RecordKey key, int schemaVersion, ObjectNode spec) {

  /** Returns the document as JSON. */
  public ObjectNode json() {
    final ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("kind", key.kind().text());
    json.put("schemaVersion", schemaVersion);
    json.put("name", key.name());
    json.set("spec", spec);
    return json;
  }
}
