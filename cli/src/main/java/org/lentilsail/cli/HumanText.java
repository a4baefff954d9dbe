package org.lentilsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.lentilsail.model.error.LentilsailException;

/** Formats JSON and errors as human-readable text. */
final class HumanText {
  /** Indentation of nested fields. */
  private static final String INDENT = "  ";

  private HumanText() {}

  /** Returns an error with its code and remedy, and after a conflict the current content. */
  static String of(final LentilsailException error) {
    final JsonNode body = AdminError.body(error);
    final String current =
        body.has("current")
            ? "\ncurrent content at revision "
                + body.path("revision")
                + ":\n"
                + of(body.get("current"))
            : "";
    return "error: "
        + error.code().text()
        + ": "
        + error.getMessage()
        + "\nremedy: "
        + error.remedy()
        + current;
  }

  /** Returns a JSON object with one field per line. */
  static String of(final JsonNode json) {
    final List<String> lines = new ArrayList<>();
    add(lines, "", json);
    return String.join("\n", lines);
  }

  private static void add(final List<String> lines, final String indent, final JsonNode json) {
    if (json.isArray()) {
      json.forEach(element -> addField(lines, indent, "-", element));
    } else {
      json.properties()
          .forEach(field -> addField(lines, indent, field.getKey() + ":", field.getValue()));
    }
  }

  private static void addField(
      final List<String> lines, final String indent, final String label, final JsonNode value) {
    if (value.isContainerNode() && !value.isEmpty()) {
      lines.add(indent + label);
      add(lines, indent + INDENT, value);
    } else {
      lines.add(indent + label + " " + (value.isContainerNode() ? "none" : value.asText()));
    }
  }
}
