package org.lentilsail.standin.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Guards against a judge that misses runs, and against faults that the stand-in fails to show. */
class BackendServerTest {
  private static final Duration BOUND = Duration.ofSeconds(20);
  private static final String LONG_RUN = "60000";

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private XnioWorker worker;
  private BackendServer server;

  @BeforeEach
  void start() throws IOException {
    worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 2));
    server =
        BackendServer.start(
            worker, new InetSocketAddress("127.0.0.1", 0), new BackendSettings(1, 64, 0, 100));
  }

  @AfterEach
  void stop() {
    server.close();
    worker.shutdownNow();
  }

  /** Guards against responses that belong to another request, and runs missing in the journal. */
  @Test
  void echoesAndRecords() throws Exception {
    final HttpResponse<String> response = work("a", "0", "body").get();
    assertThat(response.body(), is("body"));
    assertThat(response.headers().firstValue("Standin-Id").orElse(""), is("a"));
    assertThat(
        order("GET", "journal", "").body(),
        containsString(
            "\"key\":\"key-a\",\"id\":\"a\",\"bootGeneration\":1,\"state\":\"finished\""));
  }

  /** Guards against a drain that lets new work in or cuts what runs or waits inside. */
  @Test
  void drainRefusesNewWorkWithProof() throws Exception {
    final CompletableFuture<HttpResponse<String>> first = work("a", "500", "");
    awaitStatus(status -> status.contains("\"running\":1"));
    final CompletableFuture<HttpResponse<String>> second = work("b", "0", "");
    awaitStatus(status -> status.contains("\"running\":2"));
    order("POST", "drain", "");
    final HttpResponse<String> refused = work("c", "0", "").get();
    assertThat(refused.statusCode(), is(503));
    assertThat(refused.headers().firstValue("Lentilsail-Outcome").orElse(""), is("not-run"));
    assertThat(first.get().statusCode(), is(200));
    assertThat(second.get().statusCode(), is(200));
    assertThat(
        order("GET", "journal", "").body(),
        containsString("\"started\":2,\"finished\":2,\"cut\":0"));
  }

  /** Guards against a reboot that loses the record of what it cut, or stays drained. */
  @Test
  void rebootCutsAndRecords() throws Exception {
    final CompletableFuture<HttpResponse<String>> running = work("a", LONG_RUN, "");
    awaitStatus(status -> status.contains("\"running\":1"));
    final CompletableFuture<HttpResponse<String>> waiting = work("b", "0", "");
    awaitStatus(status -> status.contains("\"running\":2"));
    order("POST", "reboot", "");
    assertThrows(ExecutionException.class, running::get);
    assertThrows(ExecutionException.class, waiting::get);
    awaitStatus(status -> status.contains("\"running\":0,\"draining\":false,\"bootGeneration\":2"));
    assertThat(
        order("GET", "journal", "").body(),
        containsString("\"started\":1,\"finished\":0,\"cut\":1"));
    assertThat(work("c", "0", "").get().statusCode(), is(200));
  }

  /** Guards against a fault that leaves a response whole or a journal that misses its run. */
  @Test
  void closesInMiddleOfResponse() throws Exception {
    order("POST", "failure", "{\"mode\":\"close-in-middle\",\"share\":1,\"delayMillis\":0}");
    assertThrows(ExecutionException.class, () -> work("a", "0", "body").get());
    order("POST", "failure", "{\"mode\":\"close-before\",\"share\":1,\"delayMillis\":0}");
    assertThrows(ExecutionException.class, () -> work("b", "0", "body").get());
    assertThat(
        order("GET", "journal", "").body(),
        containsString("\"started\":1,\"finished\":1,\"cut\":0"));
  }

  private void awaitStatus(final Predicate<String> wanted) throws InterruptedException {
    final long end = System.nanoTime() + BOUND.toNanos();
    String seen = "";
    while (!wanted.test(seen)) {
      assertThat("last status " + seen, System.nanoTime() < end);
      try {
        seen = order("GET", "status", "").body();
      } catch (final IOException refused) {
        seen = refused.toString();
        Thread.onSpinWait();
      }
    }
  }

  private HttpResponse<String> order(final String method, final String order, final String body)
      throws IOException, InterruptedException {
    return client.send(
        request("/standin/" + order)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  private CompletableFuture<HttpResponse<String>> work(
      final String id, final String runMillis, final String body) {
    return client.sendAsync(
        request("/work")
            .header("Standin-Id", id)
            .header("Idempotency-Key", "key-" + id)
            .header("Standin-Run-Millis", runMillis)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  private HttpRequest.Builder request(final String path) {
    return HttpRequest.newBuilder(
            URI.create("http://127.0.0.1:" + server.address().getPort() + path))
        .timeout(BOUND);
  }
}
