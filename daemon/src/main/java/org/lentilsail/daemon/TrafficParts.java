package org.lentilsail.daemon;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.lentilsail.admin.ReadinessCheck;
import org.lentilsail.entry.EntryMetrics;
import org.lentilsail.entry.EntryServer;
import org.lentilsail.entry.RequestExecutor;

/** Takes requests of callers and runs them on workers. */
final class TrafficParts {
  /** The parts on which this one rests. */
  private final SharedParts shared;

  /** The HTTP server for callers. */
  private final EntryServer server;

  /**
   * Starts the server, which refuses requests until there is a configuration.
   *
   * @param shared the parts on which this one rests
   * @param dispatch slots on workers
   * @throws IOException when the address cannot be bound
   */
  TrafficParts(final SharedParts shared, final DispatchParts dispatch) throws IOException {
    this.shared = shared;
    final EntryMetrics metrics = new EntryMetrics(shared.metrics());
    final RequestExecutor executor =
        new RequestExecutor(
            dispatch.dispatch(),
            shared.caller(),
            shared.configuration(),
            dispatch.inFlight(),
            metrics,
            new IoThreadDelays(shared.threads().traffic()),
            shared.time());
    server =
        new EntryServer(
            shared.threads().traffic(),
            shared.settings().callerAddress().socketAddress(),
            shared.configuration(),
            executor,
            count -> List.of(),
            metrics,
            shared.time());
  }

  void start() {}

  ReadinessCheck serving() {
    return new ServingCheck(server::isReady);
  }

  /**
   * Ends the service without cutting off a request.
   *
   * @return completes when no request is in flight
   */
  CompletableFuture<Void> stop() {
    return server.stopGracefully(shared.settings().drainGraceMillis());
  }

  void close() {
    server.close();
  }
}
