package org.lentilsail.model.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;

/** Converts specs between schema versions. */
final class SchemaConversion {
  private SchemaConversion() {}

  /**
   * Converts a spec for a reader and omits the fields that the reader's version does not have.
   *
   * @param kind kind of the record
   * @param spec the spec; not changed
   * @param from version of the spec; a version newer than all known ones is treated as the newest
   * @param to version of the reader
   * @return the converted spec
   */
  static ObjectNode forReader(
      final RecordKind kind, final ObjectNode spec, final int from, final int to) {
    ObjectNode converted = spec.deepCopy();
    if (from < to) {
      converted = upgrade(kind, converted);
    } else if (to == 1 && from > 1) {
      downgrade(kind, converted);
    }
    return onlyKnown(converted, SchemaFields.of(kind, to, to));
  }

  /**
   * Converts a spec of version 1 to version 2; explicit nulls and unknown fields are kept.
   *
   * @param kind kind of the record
   * @param spec the spec; not changed
   * @return the converted spec
   */
  static ObjectNode upgrade(final RecordKind kind, final ObjectNode spec) {
    final ObjectNode converted = spec.deepCopy();
    if (kind == RecordKind.SERVICE && converted.has("timeoutMillis")) {
      wrap(converted, "timeout", "millis", converted.remove("timeoutMillis"));
    }
    if (kind == RecordKind.BUDGET && converted.has("maxUnavailable")) {
      wrap(converted, "maxUnavailable", "count", converted.get("maxUnavailable"));
    }
    return converted;
  }

  private static void downgrade(final RecordKind kind, final ObjectNode spec) {
    if (kind == RecordKind.SERVICE) {
      unwrap(spec, "timeout", "millis", "timeoutMillis");
    }
    if (kind == RecordKind.BUDGET) {
      // Version 1 cannot express a percentage, so its readers do not get the field.
      unwrap(spec, "maxUnavailable", "count", "maxUnavailable");
    }
  }

  private static void wrap(
      final ObjectNode spec, final String field, final String inner, final JsonNode value) {
    spec.set(field, JsonNodeFactory.instance.objectNode().set(inner, value));
  }

  private static void unwrap(
      final ObjectNode spec, final String field, final String inner, final String target) {
    final JsonNode outer = spec.remove(field);
    if (outer != null && outer.hasNonNull(inner)) {
      spec.set(target, outer.get(inner));
    }
  }

  private static ObjectNode onlyKnown(
      final ObjectNode spec, final Map<String, Set<String>> fields) {
    spec.retain(fields.keySet());
    fields.forEach(
        (name, inner) -> {
          if (!inner.isEmpty() && spec.get(name) instanceof ObjectNode outer) {
            outer.retain(inner);
          }
        });
    return spec;
  }
}
