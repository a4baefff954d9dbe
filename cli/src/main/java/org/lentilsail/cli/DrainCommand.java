package org.lentilsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;

/** Takes a VM out of service until the command {@code return}. */
final class DrainCommand implements Command {
  @Override
  public String name() {
    return "drain";
  }

  @Override
  public String arguments() {
    return "VM";
  }

  @Override
  public String summary() {
    return "takes a VM out of service until it is returned";
  }

  @Override
  public void declare(final OptionParser parser) {
    parser.accepts("force", "drain at once, even when the budget does not allow it");
    parser.accepts("reason", "why, for other operators").withRequiredArg();
    parser.accepts("mark", "mark of the write, to repeat it").withRequiredArg();
  }

  @Override
  public void run(final Invocation invocation) {
    final String vm = invocation.arguments(1).get(0);
    final ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("force", invocation.options().has("force"));
    body.put("reason", invocation.option("reason").orElse(""));
    final String path = "/v1/vms/" + Paths.segment(vm) + "/drain?mark=" + invocation.writeId();
    final JsonNode result = invocation.client().call("POST", path, body.toString(), "");
    invocation.print(
        result,
        result.path("changed").asBoolean()
            ? vm + ": drain accepted at revision " + result.path("revision")
            : vm + ": is held already");
  }
}
