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

/** Guards against runs that are missing in the journal and injected faults without effect. */
class BackendServerTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
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

  /** Guards against responses to another request and runs that are missing in the journal. */
  @Test
  void echoesRequestAndRecordsRun() throws Exception {
    final HttpResponse<String> response = sendRequest("a", "0", "body").get();
    assertThat(response.body(), is("body"));
    assertThat(response.headers().firstValue("Standin-Id").orElse(""), is("a"));
    assertThat(
        control("GET", "journal", "").body(),
        containsString(
            "\"key\":\"key-a\",\"id\":\"a\",\"bootGeneration\":1,\"state\":\"finished\""));
  }

  /** Guards against a drain that accepts new requests, or that drops running or waiting ones. */
  @Test
  void drainRejectsNewRequestsAsNotRun() throws Exception {
    final CompletableFuture<HttpResponse<String>> first = sendRequest("a", "500", "");
    awaitStatus(status -> status.contains("\"running\":1"));
    final CompletableFuture<HttpResponse<String>> second = sendRequest("b", "0", "");
    awaitStatus(status -> status.contains("\"running\":2"));
    control("POST", "drain", "");
    final HttpResponse<String> rejected = sendRequest("c", "0", "").get();
    assertThat(rejected.statusCode(), is(503));
    assertThat(rejected.headers().firstValue("Lentilsail-Outcome").orElse(""), is("not-run"));
    assertThat(first.get().statusCode(), is(200));
    assertThat(second.get().statusCode(), is(200));
    assertThat(
        control("GET", "journal", "").body(),
        containsString("\"started\":2,\"finished\":2,\"cut\":0"));
  }

  /** Guards against interrupted runs that are not recorded, and a server that stays drained. */
  @Test
  void rebootInterruptsRunsAndRecordsThem() throws Exception {
    final CompletableFuture<HttpResponse<String>> running = sendRequest("a", LONG_RUN, "");
    awaitStatus(status -> status.contains("\"running\":1"));
    final CompletableFuture<HttpResponse<String>> waiting = sendRequest("b", "0", "");
    awaitStatus(status -> status.contains("\"running\":2"));
    control("POST", "reboot", "");
    assertThrows(ExecutionException.class, running::get);
    assertThrows(ExecutionException.class, waiting::get);
    awaitStatus(status -> status.contains("\"running\":0,\"draining\":false,\"bootGeneration\":2"));
    assertThat(
        control("GET", "journal", "").body(),
        containsString("\"started\":1,\"finished\":0,\"cut\":1"));
    assertThat(sendRequest("c", "0", "").get().statusCode(), is(200));
  }

  /**
   * Guards against injected faults that send a full response or run a request that they must not.
   */
  @Test
  void closesInMiddleOfResponse() throws Exception {
    control("POST", "failure", "{\"mode\":\"close-in-middle\",\"share\":1,\"delayMillis\":0}");
    assertThrows(ExecutionException.class, () -> sendRequest("a", "0", "body").get());
    control("POST", "failure", "{\"mode\":\"close-before\",\"share\":1,\"delayMillis\":0}");
    assertThrows(ExecutionException.class, () -> sendRequest("b", "0", "body").get());
    assertThat(
        control("GET", "journal", "").body(),
        containsString("\"started\":1,\"finished\":1,\"cut\":0"));
  }

  private void awaitStatus(final Predicate<String> condition) throws InterruptedException {
    final long end = System.nanoTime() + TIMEOUT.toNanos();
    String status = "";
    while (!condition.test(status)) {
      assertThat("last status " + status, System.nanoTime() < end);
      try {
        status = control("GET", "status", "").body();
      } catch (final IOException error) {
        status = error.toString();
        Thread.onSpinWait();
      }
    }
  }

  private HttpResponse<String> control(final String method, final String command, final String body)
      throws IOException, InterruptedException {
    return client.send(
        request("/standin/" + command)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  private CompletableFuture<HttpResponse<String>> sendRequest(
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
        .timeout(TIMEOUT);
  }
}
