package org.lentilsail.standin.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.SameThreadExecutor;
import org.lentilsail.http.HttpCallException;
import org.lentilsail.http.HttpResponse;
import org.lentilsail.model.error.ErrorCode;

/** HTTP routes of the list of VMs and of the operations on them. */
final class VmRoutes {
  /** Operation that increments the boot generation. */
  private static final String REBOOT = "reboot";

  private static final ObjectMapper JSON = new ObjectMapper();

  private final VmTable table;

  private final VmClient client;

  VmRoutes(final VmTable table, final VmClient client) {
    this.table = table;
    this.client = client;
  }

  void addTo(final RoutingHandler routes) {
    routes
        .get("/v1/vms", this::list)
        .post("/v1/vms/{vm}/drain", exchange -> operate(exchange, "drain"))
        .post("/v1/vms/{vm}/undrain", exchange -> operate(exchange, "undrain"))
        .post("/v1/vms/{vm}/reboot", exchange -> operate(exchange, REBOOT))
        .post("/v1/vms/{vm}/checkpoint", exchange -> operate(exchange, "checkpoint"))
        .post("/standin/vms/{vm}/leaving", this::markLeaving);
  }

  private void list(final HttpServerExchange exchange) {
    final ObjectNode body = Replies.object();
    body.set("vms", JSON.valueToTree(table.list()));
    Replies.send(exchange, 200, body);
  }

  private void markLeaving(final HttpServerExchange exchange) {
    Replies.attempt(
        exchange,
        () -> {
          table.markLeaving(Replies.query(exchange, "vm"));
          Replies.send(exchange, 200, Replies.object());
        });
  }

  private void operate(final HttpServerExchange exchange, final String operation) {
    Replies.attempt(
        exchange,
        () -> {
          final String vm = Replies.query(exchange, "vm");
          final boolean reboot = operation.equals(REBOOT);
          if (table.beginOperation(vm, reboot, Replies.number(exchange, "bootGeneration"))) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> execute(exchange, vm, operation));
          } else {
            Replies.sendError(
                exchange,
                ErrorCode.CONFLICT,
                "VM \"" + vm + "\" is at a different boot generation");
          }
        });
  }

  private void execute(final HttpServerExchange exchange, final String vm, final String operation) {
    client
        .operate(table.settings(vm), operation)
        .whenComplete(
            (response, failure) -> {
              if (hadNoEffect(response, failure)) {
                if (operation.equals(REBOOT)) {
                  table.abandonReboot(vm);
                }
                Replies.sendError(
                    exchange,
                    ErrorCode.PLATFORM_UNAVAILABLE,
                    "VM \"" + vm + "\" did not execute the operation");
              } else if (failure != null) {
                Replies.sendError(exchange, ErrorCode.OUTCOME_UNKNOWN, failure.getMessage());
              } else {
                Replies.send(exchange, 200, Replies.object());
              }
            });
  }

  /** Returns whether an operation certainly had no effect. */
  private static boolean hadNoEffect(final HttpResponse response, final Throwable failure) {
    return failure == null
        ? response.status() >= 400
        : failure instanceof HttpCallException error && !error.written();
  }
}
