package org.lentilsail.system;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Phaser;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.lentilsail.http.HttpCall;
import org.lentilsail.http.HttpField;
import org.lentilsail.http.HttpResponse;

/** Sends idempotent requests through all entry daemons in turn until it is stopped. */
final class BackgroundLoad {
  /** Nanoseconds in a second. */
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** Time-out of a request. */
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  /** Most bytes of a response body. */
  private static final int RESPONSE_LIMIT = 1 << 20;

  /** The deployment. */
  private final LocalFleet fleet;

  /** Services that get the requests in turn. */
  private final List<String> services;

  /** Requests per second. */
  private final int perSecond;

  /** Counts requests that are not answered yet. */
  private final Phaser open = new Phaser(1);

  /** Requests with outcome ran. */
  private final AtomicInteger ran = new AtomicInteger();

  /** Requests with outcome not-run. */
  private final AtomicInteger refused = new AtomicInteger();

  /** Requests with outcome unknown. */
  private final AtomicInteger unknown = new AtomicInteger();

  /** Requests with a wrong response. */
  private final AtomicInteger wrong = new AtomicInteger();

  /** Requests without a response from daemons that were ended or frozen on purpose. */
  private final AtomicInteger closed = new AtomicInteger();

  /** Daemons that are ended or frozen on purpose, whose callers may see closed connections. */
  private final Set<String> disturbed = ConcurrentHashMap.newKeySet();

  /** Whether to go on. */
  private volatile boolean running = true;

  /** Sends the requests. */
  private Thread sender;

  BackgroundLoad(final LocalFleet fleet, final List<String> services, final int perSecond) {
    this.fleet = fleet;
    this.services = List.copyOf(services);
    this.perSecond = perSecond;
  }

  void start() {
    sender = new Thread(this::send, "background-load");
    sender.setDaemon(true);
    sender.start();
  }

  /**
   * Allows for callers of a daemon that get no response, because it is about to be ended or frozen.
   *
   * @param daemon id of the daemon
   */
  void expectClosedConnections(final String daemon) {
    disturbed.add(daemon);
  }

  LoadSummary stop() throws InterruptedException {
    running = false;
    sender.join();
    open.arriveAndAwaitAdvance();
    return new LoadSummary(ran.get(), refused.get(), unknown.get(), wrong.get(), closed.get());
  }

  private void send() {
    final List<String> daemons = List.copyOf(fleet.addresses().callerPorts().keySet());
    for (int i = 0; running; i++) {
      final String id = "load-" + i;
      final String daemon = daemons.get(i % daemons.size());
      open.register();
      fleet
          .httpClient()
          .asyncClient()
          .call(call(fleet.addresses().callerPorts().get(daemon), i, id))
          .whenComplete(
              (response, error) -> {
                count(daemon, id, response);
                open.arriveAndDeregister();
              });
      LockSupport.parkNanos(NANOS_PER_SECOND / perSecond);
    }
  }

  private HttpCall call(final int port, final int number, final String id) {
    return new HttpCall(
        new InetSocketAddress("127.0.0.1", port),
        "PUT",
        "/" + services.get(number % services.size()) + "/tee-times/" + id,
        List.of(new HttpField("Standin-Id", id), new HttpField("Standin-Run-Millis", "20")),
        id.getBytes(StandardCharsets.UTF_8),
        TIMEOUT,
        RESPONSE_LIMIT);
  }

  private void count(final String daemon, final String id, final HttpResponse response) {
    final String outcome = response == null ? "" : response.field("Lentilsail-Outcome").orElse("");
    final AtomicInteger counter =
        switch (outcome) {
          case "ran" -> isOwn(id, response) ? ran : wrong;
          case "not-run" -> refused;
          case "unknown" -> unknown;
          default -> response == null && disturbed.contains(daemon) ? closed : wrong;
        };
    counter.incrementAndGet();
  }

  private static boolean isOwn(final String id, final HttpResponse response) {
    return new String(response.body(), StandardCharsets.UTF_8).contains(id);
  }
}
