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

/** Sends idempotent requests to the entry daemons in round-robin order until it is stopped. */
final class BackgroundLoad {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

  private static final int MAX_RESPONSE_BYTES = 1 << 20;

  private final LocalFleet fleet;

  /** Target services, used in round-robin order. */
  private final List<String> services;

  private final int requestsPerSecond;

  /** Has one party for each request in flight, and one for the sender. */
  private final Phaser inFlight = new Phaser(1);

  private final AtomicInteger ran = new AtomicInteger();

  private final AtomicInteger notRun = new AtomicInteger();

  private final AtomicInteger unknown = new AtomicInteger();

  /** Requests with a missing outcome or the response of another request. */
  private final AtomicInteger wrong = new AtomicInteger();

  /** Requests without a response from a daemon that the test killed or froze. */
  private final AtomicInteger closedByDaemon = new AtomicInteger();

  /** Daemons that the test kills or freezes, so that their connections may close. */
  private final Set<String> interruptedDaemons = ConcurrentHashMap.newKeySet();

  private volatile boolean running = true;

  private Thread sender;

  BackgroundLoad(final LocalFleet fleet, final List<String> services, final int requestsPerSecond) {
    this.fleet = fleet;
    this.services = List.copyOf(services);
    this.requestsPerSecond = requestsPerSecond;
  }

  void start() {
    sender = new Thread(this::send, "background-load");
    sender.setDaemon(true);
    sender.start();
  }

  /**
   * Accepts requests without a response from a daemon that is about to be killed or frozen.
   *
   * @param daemon id of the daemon
   */
  void expectClosedConnections(final String daemon) {
    interruptedDaemons.add(daemon);
  }

  LoadSummary stop() throws InterruptedException {
    running = false;
    sender.join();
    inFlight.arriveAndAwaitAdvance();
    return new LoadSummary(
        ran.get(), notRun.get(), unknown.get(), wrong.get(), closedByDaemon.get());
  }

  private void send() {
    final List<String> daemons = List.copyOf(fleet.addresses().callerPorts().keySet());
    for (int i = 0; running; i++) {
      final String id = "load-" + i;
      final String daemon = daemons.get(i % daemons.size());
      inFlight.register();
      fleet
          .httpClient()
          .asyncClient()
          .call(call(fleet.addresses().callerPorts().get(daemon), i, id))
          .whenComplete(
              (response, error) -> {
                count(daemon, id, response);
                inFlight.arriveAndDeregister();
              });
      LockSupport.parkNanos(NANOS_PER_SECOND / requestsPerSecond);
    }
  }

  private HttpCall call(final int port, final int number, final String id) {
    return new HttpCall(
        new InetSocketAddress("127.0.0.1", port),
        "PUT",
        "/" + services.get(number % services.size()) + "/tee-times/" + id,
        List.of(new HttpField("Standin-Id", id), new HttpField("Standin-Run-Millis", "20")),
        id.getBytes(StandardCharsets.UTF_8),
        REQUEST_TIMEOUT,
        MAX_RESPONSE_BYTES);
  }

  private void count(final String daemon, final String id, final HttpResponse response) {
    final String outcome = response == null ? "" : response.field("Lentilsail-Outcome").orElse("");
    final AtomicInteger counter =
        switch (outcome) {
          case "ran" -> isResponseTo(id, response) ? ran : wrong;
          case "not-run" -> notRun;
          case "unknown" -> unknown;
          default ->
              response == null && interruptedDaemons.contains(daemon) ? closedByDaemon : wrong;
        };
    counter.incrementAndGet();
  }

  private static boolean isResponseTo(final String id, final HttpResponse response) {
    return new String(response.body(), StandardCharsets.UTF_8).contains(id);
  }
}
