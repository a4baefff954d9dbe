package org.lentilsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** Lists records, optionally only those of some kinds. */
final class ListCommand implements Command {
  @Override
  public String name() {
    return "list";
  }

  @Override
  public String arguments() {
    return "[KIND...]";
  }

  @Override
  public String summary() {
    return "lists the records, or those of some kinds";
  }

  @Override
  public void run(final Invocation invocation) {
    final List<String> kinds = invocation.arguments();
    final ObjectNode result = JsonNodeFactory.instance.objectNode();
    final ArrayNode selected = result.putArray("records");
    final List<String> lines = new ArrayList<>();
    for (final JsonNode entry : invocation.client().read("/v1/records").path("records")) {
      final JsonNode record = entry.path("record");
      if (kinds.isEmpty() || kinds.contains(record.path("kind").asText())) {
        selected.add(entry);
        lines.add(
            record.path("kind").asText()
                + "/"
                + record.path("name").asText()
                + " revision "
                + entry.path("revision")
                + " "
                + record.path("spec"));
      }
    }
    invocation.print(result, lines.isEmpty() ? "no records" : String.join("\n", lines));
  }
}
