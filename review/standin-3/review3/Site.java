package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** A small deployment: the store, machines with workers, daemons, and calls of clients. */
final class Site {
  static final String HOST = "pule25.example";
  static final int VALUE_BYTES = 1_048_576;

  private static final String[][] QUEUES = {
    {"booking", "/puxa400/", "4", "2.0", "600"},
    {"starter", "/kafi706/", "4", "2.0", "2500"},
  };

  final Store store = new Store(VALUE_BYTES);
  final Jobs jobs = new Jobs();
  final Record record;
  final Cloud cloud;
  final Daemons daemons;
  final List<Worker> workers = new CopyOnWriteArrayList<>();
  private final AtomicLong nextId = new AtomicLong(System.nanoTime() & 0xffffff);

  Site(final Record record, final int machinesPerService, final long workerCpu) throws IOException {
    this.record = record;
    cloud =
        new Cloud(
            (machine, life) -> {
              final Worker worker =
                  new Worker(
                      "i-" + machine + '-' + life,
                      machine.startsWith("mb") ? "booking" : "starter",
                      workerCpu,
                      store,
                      jobs,
                      record);
              workers.add(worker);
              return worker;
            },
            store,
            record,
            2_000);
    for (int i = 1; i <= machinesPerService; i++) {
      cloud.add("mb-" + i);
      cloud.add("ms-" + i);
    }
    daemons =
        new Daemons(
            record, Http.serve("127.0.0.1", store::handle), Http.serve("127.0.0.1", cloud::handle));
    configure(5, 4);
  }

  /** Writes the operator's configuration. */
  void configure(final long version, final int maxAttempts) {
    final ObjectNode root = Http.object().put("Version", version);
    final ArrayNode routes = root.putArray("Routes");
    final ArrayNode services = root.putArray("Services");
    for (final String[] queue : QUEUES) {
      routes
          .addObject()
          .put("Name", "r-" + queue[0])
          .put("Host", HOST)
          .put("Prefix", queue[1])
          .put("Type", "unsafe")
          .put("TimeoutMs", 3000)
          .put("TargetLatencyMs", Integer.parseInt(queue[4]))
          .put("Priority", 0)
          .put("Service", queue[0])
          .put("MaxAttempts", maxAttempts)
          .put("Stretch", Double.parseDouble(queue[3]));
      services.addObject().put("Name", queue[0]).put("EnforcesCapacity", true);
    }
    root.putObject("Limits").put("MaxBodyBytes", 262_144);
    store.put("op/config", Http.bytes(root));
    record.line("operator: configuration " + version + " with MaxAttempts " + maxAttempts);
  }

  String newId() {
    return String.format("%016x", 0x5c0e7a2100000000L + nextId.incrementAndGet());
  }

  static String prefix(final int queue) {
    return QUEUES[queue][1];
  }

  /** Submits a job through a daemon. */
  Http.Response submit(final int daemon, final int queue, final String id, final JsonNode body) {
    jobs.add(id, body);
    return Http.call(
        "POST", daemons.front(daemon), prefix(queue) + id, HOST, Http.bytes(body), 3_000);
  }

  Http.Response state(final int daemon, final int queue, final String id) {
    return Http.call("GET", daemons.front(daemon), prefix(queue) + id, HOST, null, 3_000);
  }

  Http.Response cancel(final int daemon, final int queue, final String id) {
    return Http.call("DELETE", daemons.front(daemon), prefix(queue) + id, HOST, null, 3_000);
  }

  /** Waits until a job has a state and returns the last response. */
  Http.Response await(
      final int daemon, final int queue, final String id, final String state, final long millis) {
    final long until = System.nanoTime() + millis * 1_000_000;
    Http.Response response = state(daemon, queue, id);
    while (!response.body().contains('"' + state + '"') && System.nanoTime() - until < 0) {
      Http.sleep(50);
      response = state(daemon, queue, id);
    }
    return response;
  }

  static ObjectNode step(final int count, final int cpu, final int millis) {
    return Http.object()
        .put("Count", count)
        .put("Cpu", cpu)
        .put("MemMb", 16)
        .put("EstimateMs", millis);
  }

  static ObjectNode job(final String text, final JsonNode... steps) {
    final ObjectNode body = Http.object().put("Spec", text);
    final ArrayNode list = body.putArray("Steps");
    for (final JsonNode step : steps) {
      list.add(step);
    }
    return body;
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }
}
