package org.lentilsail.daemon;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lentilsail.admin.ReadinessCheck;
import org.lentilsail.entry.EntryMetrics;
import org.lentilsail.entry.EntryServer;
import org.lentilsail.entry.RequestExecutor;
import org.lentilsail.idempotency.KeyTable;
import org.lentilsail.idempotency.KeyedRequestRunner;

/** Takes requests of callers and runs them on workers. */
final class TrafficComponents {
  /** Most bytes of responses that are kept for repeats of keyed requests. */
  private static final long KEPT_RESPONSE_BYTES = 16L * 1024 * 1024;

  /** The parts on which this one rests. */
  private final SharedComponents shared;

  /** Terms of the idempotency keys that this daemon owns. */
  private final KeyTermScheduler keys;

  /** Runs keyed requests of callers and peers. */
  private final KeyedRequestRunner keyed;

  /** The HTTP server for callers. */
  private final EntryServer server;

  /**
   * Starts the server, which refuses requests until there is a configuration.
   *
   * @param shared the parts on which this one rests
   * @param dispatch slots on workers
   * @throws IOException when the address cannot be bound
   */
  TrafficComponents(final SharedComponents shared, final DispatchComponents dispatch)
      throws IOException {
    this.shared = shared;
    final EntryMetrics metrics = new EntryMetrics(shared.metrics());
    final RequestExecutor executor =
        new RequestExecutor(
            dispatch.dispatch(),
            shared.httpClient(),
            shared.configuration(),
            dispatch.inFlight(),
            metrics,
            new IoThreadDelays(shared.threads().traffic()),
            shared.time());
    final long memoryMillis = TimeUnit.MINUTES.toMillis(shared.settings().keyMemoryMinutes());
    final KeyTable table = new KeyTable(memoryMillis, KEPT_RESPONSE_BYTES);
    keys = new KeyTermScheduler(shared, table);
    keyed =
        new KeyedRequestRunner(
            executor, table, shared.configuration(), shared.network(), shared.time());
    server =
        new EntryServer(
            shared.threads().traffic(),
            shared.settings().callerAddress().socketAddress(),
            shared.configuration(),
            keyed,
            keyed,
            metrics,
            shared.time());
  }

  void start() {
    keys.start();
  }

  ReadinessCheck serving() {
    return new ServingCheck(server::isReady);
  }

  /**
   * Ends the service without cutting off a request, gives up the key terms afterwards, and answers
   * the keyed requests that peers have forwarded.
   *
   * @return completes when no request is in flight and the terms are given up
   */
  CompletableFuture<Void> stop() {
    return server
        .stopGracefully(shared.settings().drainGraceMillis())
        .thenCompose(ended -> keys.stop())
        .thenCompose(ended -> keyed.forwardedCompletion());
  }

  void close() {
    server.close();
  }
}
