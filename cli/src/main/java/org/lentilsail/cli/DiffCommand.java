package org.lentilsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** Shows what applying files would change; writes nothing. */
final class DiffCommand implements Command {
  @Override
  public String name() {
    return "diff";
  }

  @Override
  public String arguments() {
    return "FILE...";
  }

  @Override
  public String summary() {
    return "shows what apply would change";
  }

  @Override
  public void run(final Invocation invocation) {
    for (final JsonNode record : RecordFiles.read(invocation.arguments())) {
      final String name = RecordFiles.name(record);
      final JsonNode present = present(invocation, record, name);
      final ObjectNode result = JsonNodeFactory.instance.objectNode();
      result.put("record", name);
      result.put("revision", present.path("revision").asLong());
      final ObjectNode changes = result.putObject("changes");
      final List<String> lines = new ArrayList<>();
      lines.add(
          present.isEmpty() ? name + ": new" : name + ": based on " + present.path("revision"));
      compare(present.path("record").path("spec"), record.path("spec"), changes, lines);
      if (lines.size() == 1 && !present.isEmpty()) {
        lines.add("  no change");
      }
      invocation.print(result, String.join("\n", lines));
    }
  }

  private static void compare(
      final JsonNode present,
      final JsonNode written,
      final ObjectNode changes,
      final List<String> lines) {
    final Set<String> names = new TreeSet<>();
    present.fieldNames().forEachRemaining(names::add);
    written.fieldNames().forEachRemaining(names::add);
    for (final String name : names) {
      final JsonNode before = present.path(name);
      final JsonNode after = written.path(name).isNull() ? present.at("/none") : written.path(name);
      if (!before.equals(after)) {
        lines.add("  " + name + ": " + text(before) + " -> " + text(after));
        final ObjectNode change = changes.putObject(name);
        change.put("before", text(before));
        change.put("after", text(after));
      }
    }
  }

  private static String text(final JsonNode value) {
    return value.isMissingNode() ? "default" : value.toString();
  }

  private static JsonNode present(
      final Invocation invocation, final JsonNode record, final String name) {
    JsonNode present = JsonNodeFactory.instance.objectNode();
    try {
      final String version =
          record.has("schemaVersion") ? "?schemaVersion=" + record.path("schemaVersion") : "";
      present = invocation.client().read(Paths.record(name) + version);
    } catch (final LentilsailException error) {
      if (error.code() != ErrorCode.NOT_FOUND) {
        throw error;
      }
    }
    return present;
  }
}
