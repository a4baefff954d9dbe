package org.lentilsail.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Posts an action on a wave or a VM.
 *
 * @param name name of the command and of the path segment
 * @param arguments arguments as shown in the usage line
 * @param summary description for the command overview
 * @param collection path segment before the argument
 * @param unchanged message when the action changes nothing
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
