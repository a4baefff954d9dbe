package org.lentilsail.model.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.json.Fault;
import org.lentilsail.model.json.JsonObjectReader;

/**
 * Parses a record that a client has written and reports the faults of envelope and spec together.
 */
public final class RecordParser {
  /** Names of the kinds, for remedies. */
  private static final String KINDS =
      Arrays.stream(RecordKind.values()).map(RecordKind::text).collect(Collectors.joining(", "));

  private RecordParser() {}

  /**
   * Parses a record and adds its faults to a list.
   *
   * @param json the record
   * @param mode where the spec comes from
   * @param faults receives the faults
   * @return the record, usable only when no fault was added
   */
  static RecordDocument parse(final JsonNode json, final ReadMode mode, final List<Fault> faults) {
    final JsonObjectReader envelope = new JsonObjectReader("", json, faults::add);
    final String kindText =
        envelope.requiredText(
            "kind", text -> RecordKey.kindOf(text).isPresent(), "write one of " + KINDS);
    final RecordKind kind = RecordKey.kindOf(kindText).orElse(RecordKind.POOL);
    if (envelope.node("schemaVersion").isEmpty()) {
      envelope.addFault("schemaVersion", "write the version of the spec, at most " + newest(kind));
    }
    final int version = (int) envelope.integer("schemaVersion", newest(kind), 1, newest(kind));
    final String name =
        envelope.requiredText(
            "name",
            RecordKey::validName,
            "write up to 63 lower-case letters, digits and hyphens, a letter first");
    if (kind == RecordKind.SERVICE && "lentilsail".equals(name)) {
      envelope.addFault("name", "this name is reserved; choose another one");
    }
    if (envelope.node("spec").isEmpty()) {
      envelope.addFault("spec", "write the spec as a JSON object");
    }
    final JsonNode spec = envelope.node("spec").orElseGet(JsonNodeFactory.instance::objectNode);
    envelope.rejectUnknownFields();
    if (!kindText.isEmpty()) {
      final JsonObjectReader fields = new JsonObjectReader("spec", spec, faults::add);
      SpecReaders.read(kind, name, fields, version, mode);
      fields.rejectUnknownNonNullFields();
    }
    return new RecordDocument(
        new RecordKey(kind, name),
        version,
        spec.isObject() ? (ObjectNode) spec : JsonNodeFactory.instance.objectNode());
  }

  /** Throws an exception that lists the faults, if there are any. */
  static void throwIfFaulty(final String document, final List<Fault> faults) {
    if (!faults.isEmpty()) {
      throw new LentilsailException(
          ErrorCode.INVALID_INPUT, Fault.message(document, faults), "correct the listed fields");
    }
  }

  private static int newest(final RecordKind kind) {
    return kind.newestVersion();
  }
}
