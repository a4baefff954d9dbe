package org.lentilsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import joptsimple.OptionParser;

/** Deletes a record. */
final class DeleteCommand implements Command {
  @Override
  public String name() {
    return "delete";
  }

  @Override
  public String arguments() {
    return "KIND/NAME";
  }

  @Override
  public String summary() {
    return "deletes a record that no other record uses";
  }

  @Override
  public void declare(final OptionParser parser) {
    parser.accepts("revision", "delete only this revision").withRequiredArg();
  }

  @Override
  public void run(final Invocation invocation) {
    final String record = invocation.arguments(1).get(0);
    final String path = Paths.record(record);
    final String revision =
        invocation
            .option("revision")
            .orElseGet(() -> invocation.client().read(path).path("revision").asText());
    final JsonNode result =
        invocation
            .client()
            .call("DELETE", path + "?expectedRevision=" + Paths.segment(revision), "", "");
    invocation.print(result, record + ": deleted at revision " + result.path("revision"));
  }
}
