package org.lentilsail.system;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.lentilsail.http.HttpCall;
import org.lentilsail.http.HttpField;
import org.lentilsail.http.HttpResponse;
import org.lentilsail.http.UndertowHttpCaller;
import org.lentilsail.model.time.TimeSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Sends HTTP requests to local processes and waits for the responses. */
final class LocalHttpClient implements AutoCloseable {
  private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

  private static final ObjectMapper JSON = new ObjectMapper();

  /** I/O threads of the client. */
  private final XnioWorker worker;

  private final UndertowHttpCaller asyncClient;

  LocalHttpClient() throws IOException {
    worker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_IO_THREADS, 2)
                    .set(Options.THREAD_DAEMON, true)
                    .getMap());
    asyncClient = new UndertowHttpCaller(worker, TimeSource.system());
  }

  UndertowHttpCaller asyncClient() {
    return asyncClient;
  }

  HttpResponse send(
      final int port,
      final String method,
      final String path,
      final List<HttpField> fields,
      final String body,
      final Duration timeout) {
    final HttpCall call =
        new HttpCall(
            new InetSocketAddress("127.0.0.1", port),
            method,
            path,
            fields,
            body.getBytes(StandardCharsets.UTF_8),
            timeout,
            MAX_RESPONSE_BYTES);
    try {
      return asyncClient.call(call).join();
    } catch (final CompletionException error) {
      throw error.getCause() instanceof RuntimeException cause ? cause : error;
    }
  }

  JsonNode json(final int port, final String method, final String path, final String body)
      throws IOException {
    final HttpResponse response =
        send(
            port,
            method,
            path,
            List.of(new HttpField("Content-Type", "application/json")),
            body,
            Duration.ofSeconds(5));
    return JSON.readTree(response.body());
  }

  int status(final int port, final String path) {
    return send(port, "GET", path, List.of(), "", Duration.ofSeconds(2)).status();
  }

  @Override
  public void close() {
    asyncClient.close();
    worker.shutdownNow();
  }
}
