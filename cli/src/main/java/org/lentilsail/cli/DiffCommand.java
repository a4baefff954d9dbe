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

/** Shows what applying the files would change, without writing. */
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
      final JsonNode current = current(invocation, record, name);
      final ObjectNode result = JsonNodeFactory.instance.objectNode();
      result.put("record", name);
      result.put("revision", current.path("revision").asLong());
      final ObjectNode changes = result.putObject("changes");
      final List<String> lines = new ArrayList<>();
      lines.add(
          current.isEmpty() ? name + ": new" : name + ": based on " + current.path("revision"));
      compare(current.path("record").path("spec"), record.path("spec"), changes, lines);
      if (lines.size() == 1 && !current.isEmpty()) {
        lines.add("  no change");
      }
      invocation.print(result, String.join("\n", lines));
    }
  }

  private static void compare(
      final JsonNode current,
      final JsonNode desired,
      final ObjectNode changes,
      final List<String> lines) {
    final Set<String> names = new TreeSet<>();
    current.fieldNames().forEachRemaining(names::add);
    desired.fieldNames().forEachRemaining(names::add);
    for (final String name : names) {
      final JsonNode before = current.path(name);
      final JsonNode after = desired.path(name).isNull() ? current.at("/none") : desired.path(name);
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

  private static JsonNode current(
      final Invocation invocation, final JsonNode record, final String name) {
    JsonNode current = JsonNodeFactory.instance.objectNode();
    try {
      final String version =
          record.has("schemaVersion") ? "?schemaVersion=" + record.path("schemaVersion") : "";
      current = invocation.client().read(Paths.record(name) + version);
    } catch (final LentilsailException error) {
      if (error.code() != ErrorCode.NOT_FOUND) {
        throw error;
      }
    }
    return current;
  }
}
