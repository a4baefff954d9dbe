package org.lentilsail.admin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lentilsail.acceptance.OutcomeUnknownException;
import org.lentilsail.acceptance.RecordConflictException;
import org.lentilsail.model.error.LentilsailException;

/** Formats error responses as JSON. */
final class ErrorBody {
  private ErrorBody() {}

  /**
   * Returns code, message and remedy, and for failed writes the data needed to merge or repeat
   * them.
   */
  static ObjectNode of(final LentilsailException error) {
    final ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("code", error.code().text());
    json.put("message", error.getMessage());
    json.put("remedy", error.remedy());
    if (error instanceof RecordConflictException conflict) {
      json.put("revision", conflict.revision());
      conflict.current().ifPresent(current -> json.set("current", current.json()));
    }
    if (error instanceof OutcomeUnknownException unknown) {
      json.put("mark", unknown.writeId());
      json.put("expectedRevision", unknown.expectedRevision());
    }
    return json;
  }
}
