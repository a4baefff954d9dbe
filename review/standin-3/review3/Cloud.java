package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of the machines of the platform. Each machine has one worker, which an upkeep ends. */
final class Cloud {
  /** Creates the next worker of a machine. */
  interface WorkerFactory {
    Worker create(String machine, int life) throws IOException;
  }

  private static final class Machine {
    Worker worker;
    int life = 1;
    boolean down;
  }

  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Map<Long, Set<String>> upkeepByWave = new ConcurrentHashMap<>();
  private final WorkerFactory factory;
  private final Store store;
  private final Record record;
  private final long upkeepMillis;
  private int mostDown;

  Cloud(
      final WorkerFactory factory,
      final Store store,
      final Record record,
      final long upkeepMillis) {
    this.factory = factory;
    this.store = store;
    this.record = record;
    this.upkeepMillis = upkeepMillis;
  }

  synchronized void add(final String id) throws IOException {
    final Machine machine = new Machine();
    machine.worker = factory.create(id, 1);
    machines.put(id, machine);
  }

  synchronized int mostDown() {
    return mostDown;
  }

  /** Returns the machines whose upkeep for a wave has begun. */
  Set<String> begun(final long wave) {
    return upkeepByWave.computeIfAbsent(wave, key -> ConcurrentHashMap.newKeySet());
  }

  void handle(final HttpExchange exchange) throws IOException {
    switch (exchange.getRequestURI().getPath()) {
      case "/api/machines" -> list(exchange);
      case "/api/machine-upkeep" -> upkeep(exchange);
      case "/api/machine-move" -> {
        Http.body(exchange);
        Http.answer(exchange, 409, Http.object().put("Reason", "busy"));
      }
      default -> Http.answer(exchange, 404, null);
    }
  }

  private void list(final HttpExchange exchange) throws IOException {
    final ObjectNode body = Http.object();
    final ArrayNode rows = body.putArray("Machines");
    synchronized (this) {
      machines.forEach(
          (id, machine) -> {
            final ObjectNode row =
                rows.addObject()
                    .put("Machine", id)
                    .put("Pool", machine.worker.service())
                    .put("State", machine.down ? "upkeep" : "up")
                    .put("Zone", "recife");
            row.putArray("Labels").add("a").add("r1-1");
            row.putObject("Capacity").put("Cpu", 64_000).put("MemMb", 256_000).put("Gpu", 0);
            row.put("Id", machine.down ? "" : machine.worker.id());
          });
    }
    body.putNull("NextToken");
    Http.answer(exchange, 200, body);
  }

  private void upkeep(final HttpExchange exchange) throws IOException {
    final JsonNode call = Http.body(exchange);
    final String id = call.path("Machine").asText();
    final long wave = call.path("Wave").asLong();
    int status = 200;
    String reason = "";
    synchronized (this) {
      final Machine machine = machines.get(id);
      final byte[] request = store.get("op/wave/" + wave);
      boolean listed = false;
      if (request != null) {
        for (final JsonNode name : Http.read(new String(request)).path("Machines")) {
          listed |= name.asText().equals(id);
        }
      }
      if (machine == null) {
        status = 400;
      } else if (!listed) {
        status = 409;
        reason = "wave";
      } else if (!begun(wave).contains(id)) {
        if (machine.down) {
          status = 409;
          reason = "busy";
        } else {
          begun(wave).add(id);
          takeDown(id, machine);
        }
      }
    }
    record.line("platform: upkeep of " + id + " for wave " + wave + ": " + status + ' ' + reason);
    Http.answer(exchange, status, reason.isEmpty() ? null : Http.object().put("Reason", reason));
  }

  private void takeDown(final String id, final Machine machine) {
    machine.down = true;
    mostDown =
        Math.max(mostDown, (int) machines.values().stream().filter(other -> other.down).count());
    machine.worker.terminate();
    Http.later(
        upkeepMillis,
        () -> {
          synchronized (this) {
            try {
              machine.worker = factory.create(id, ++machine.life);
              machine.down = false;
              record.line("platform: " + id + " is back as " + machine.worker.id());
            } catch (final IOException error) {
              record.line("stand-in: cannot start a worker: " + error);
            }
          }
        });
  }
}
