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

/** Components that accept requests from callers and execute them on workers. */
final class TrafficComponents {
  /** Maximum total size in bytes of responses cached for repeats of keyed requests. */
  private static final long CACHED_RESPONSE_BYTES = 16L * 1024 * 1024;

  private final SharedComponents shared;

  /** Acquires, renews and releases the ownership terms of key ranges. */
  private final KeyTermScheduler keys;

  /** Executes keyed requests from callers and peers. */
  private final KeyedRequestRunner keyed;

  /** HTTP server for callers. */
  private final EntryServer server;

  /**
   * Starts the server, which rejects requests until the daemon has received a configuration.
   *
   * @param shared components that this group depends on
   * @param dispatch grants slots on workers
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
    final long retentionMillis = TimeUnit.MINUTES.toMillis(shared.settings().keyMemoryMinutes());
    final KeyTable table = new KeyTable(retentionMillis, CACHED_RESPONSE_BYTES);
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
   * Stops gracefully: waits for requests in flight, releases the key terms, and then waits for the
   * keyed requests that peers have forwarded.
   *
   * @return completes when no request is in flight and the key terms are released
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
