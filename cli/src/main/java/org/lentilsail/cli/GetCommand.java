package org.lentilsail.cli;

import joptsimple.OptionParser;

/** Shows a record. */
final class GetCommand implements Command {
  @Override
  public String name() {
    return "get";
  }

  @Override
  public String arguments() {
    return "KIND/NAME";
  }

  @Override
  public String summary() {
    return "shows a record";
  }

  @Override
  public void declare(final OptionParser parser) {
    parser.accepts("schema-version", "version to show, by default the newest").withRequiredArg();
  }

  @Override
  public void run(final Invocation invocation) {
    final String version =
        invocation
            .option("schema-version")
            .map(text -> "?schemaVersion=" + Paths.segment(text))
            .orElse("");
    invocation.print(
        invocation.client().read(Paths.record(invocation.arguments(1).get(0)) + version));
  }
}
