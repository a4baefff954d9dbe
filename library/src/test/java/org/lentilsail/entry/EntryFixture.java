package org.lentilsail.entry;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.lentilsail.dispatch.LeastConnections;
import org.lentilsail.http.UndertowHttpCaller;
import org.lentilsail.model.time.TimeSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;

/** Entry server with real sockets and least-connections dispatch. */
final class EntryFixture implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  final FakeConfiguration configuration = new FakeConfiguration();
  final InFlightTable inFlight = new InFlightTable();
  final EntryServer server;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final XnioWorker worker;
  private final UndertowHttpCaller httpClient;

  EntryFixture() throws IOException {
    this(null);
  }

  EntryFixture(final RequestRunner runner) throws IOException {
    worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 2));
    httpClient = new UndertowHttpCaller(worker, TimeSource.system());
    final EntryMetrics metrics = new EntryMetrics(new PrometheusRegistry());
    final RequestRunner executor =
        new RequestExecutor(
            new LeastConnections(configuration),
            httpClient,
            configuration,
            inFlight,
            metrics,
            this::after,
            TimeSource.system());
    server =
        new EntryServer(
            worker,
            new InetSocketAddress("127.0.0.1", 0),
            configuration,
            runner == null ? executor : runner,
            count -> List.of(),
            metrics,
            TimeSource.system());
  }

  HttpResponse<String> send(
      final String method, final String path, final String body, final String... headers)
      throws IOException, InterruptedException {
    final HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.address().getPort() + path))
            .timeout(TIMEOUT)
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  static String outcome(final HttpResponse<String> response) {
    return response.headers().firstValue(Outcome.FIELD).orElse("missing");
  }

  static void await(final BooleanSupplier condition) {
    final long end = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("condition does not hold within " + TIMEOUT);
      }
      Thread.onSpinWait();
    }
  }

  @Override
  public void close() {
    server.close();
    httpClient.close();
    worker.shutdownNow();
  }

  private Runnable after(final long millis, final Runnable task) {
    final XnioExecutor.Key key =
        worker.getIoThread().executeAfter(task, millis, TimeUnit.MILLISECONDS);
    return key::remove;
  }
}
