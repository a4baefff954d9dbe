package org.lentilsail.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Posts an action on a wave or a VM.
 *
 * @param name name on the command line and in the path
 * @param arguments arguments for the usage line
 * @param summary one sentence for the overview
 * @param collection part of the path before the argument
 * @param unchanged answer when there is nothing to change
 */
record ActionCommand(
    String name, String arguments, String summary, String collection, String unchanged)
    implements Command {
  @Override
  public void run(final Invocation invocation) {
    final String target = invocation.arguments(1).get(0);
    final String path =
        "/v1/"
            + collection
            + "/"
            + Paths.segment(target)
            + "/"
            + name
            + "?mark="
            + invocation.writeId();
    final JsonNode result = invocation.client().call("POST", path, "", "");
    invocation.print(
        result,
        result.path("changed").asBoolean()
            ? target + ": " + name + " accepted at revision " + result.path("revision")
            : target + ": " + unchanged);
  }
}
