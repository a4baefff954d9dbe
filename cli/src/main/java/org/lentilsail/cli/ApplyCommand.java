package org.lentilsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import joptsimple.OptionParser;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;

/** Creates or updates the records in files. */
final class ApplyCommand implements Command {
  @Override
  public String name() {
    return "apply";
  }

  @Override
  public String arguments() {
    return "FILE...";
  }

  @Override
  public String summary() {
    return "creates or updates the records in JSON files (comments are allowed)";
  }

  @Override
  public void declare(final OptionParser parser) {
    parser
        .accepts("revision", "revision that the change is based on, by default the current one")
        .withRequiredArg();
    parser
        .accepts("mark", "mark of an earlier command whose outcome is unknown, to repeat it")
        .withRequiredArg();
  }

  @Override
  public void run(final Invocation invocation) {
    LentilsailException first = null;
    for (final JsonNode record : RecordFiles.read(invocation.arguments())) {
      try {
        apply(invocation, record);
      } catch (final LentilsailException error) {
        invocation.err().print(invocation.json() ? "" : RecordFiles.name(record) + ":\n");
        invocation.printError(error);
        first = first == null ? error : first;
      }
    }
    if (first != null) {
      throw new ReportedException(first);
    }
  }

  private static void apply(final Invocation invocation, final JsonNode record) {
    final String name = RecordFiles.name(record);
    final String path = Paths.record(name);
    final String revision =
        invocation.option("revision").orElseGet(() -> revision(invocation, path));
    final String query =
        "?expectedRevision="
            + Paths.segment(revision)
            + "&mark="
            + Paths.segment(invocation.writeId());
    final String repeated = "&repeated=true";
    final JsonNode result =
        invocation
            .client()
            .call(
                "PUT",
                path + query + (invocation.options().has("mark") ? repeated : ""),
                record.toString(),
                repeated);
    invocation.print(
        result,
        name
            + ": accepted at revision "
            + result.path("revision")
            + ", mark "
            + result.path("mark").asText());
  }

  private static String revision(final Invocation invocation, final String path) {
    String revision = "0";
    try {
      revision = invocation.client().read(path).path("revision").asText();
    } catch (final LentilsailException error) {
      if (error.code() != ErrorCode.NOT_FOUND) {
        throw error;
      }
    }
    return revision;
  }
}
