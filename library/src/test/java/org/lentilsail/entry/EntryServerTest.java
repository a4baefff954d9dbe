package org.lentilsail.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.undertow.server.HttpHandler;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.model.fleet.FleetDocument;
import org.lentilsail.model.fleet.VmPhase;
import org.xnio.IoUtils;

/** Guards against wrong outcomes, swapped responses and requests that a shutdown interrupts. */
@Timeout(30)
class EntryServerTest {
  private static final HttpHandler ECHO =
      exchange -> {
        exchange
            .getResponseHeaders()
            .put(
                new HttpString("X-Path"),
                exchange.getRequestURI() + "?" + exchange.getQueryString());
        exchange
            .getResponseHeaders()
            .put(
                new HttpString("X-Hop"),
                String.valueOf(exchange.getRequestHeaders().getFirst("X-Hop")));
        exchange.getResponseHeaders().put(new HttpString(Outcome.FIELD), "forged");
        exchange.setStatusCode(201);
        exchange.getResponseSender().send("echo");
      };

  /** Guards against a lost status, field or query, and against forwarded hop-by-hop fields. */
  @Test
  void forwardsRequestAndResponse() throws Exception {
    try (TestBackend worker = new TestBackend(ECHO);
        EntryFixture entry = new EntryFixture()) {
      entry.configuration.with("a", worker.address(), VmPhase.IN_SERVICE);
      try (Socket socket = new Socket("127.0.0.1", entry.server.address().getPort())) {
        write(
            socket,
            "GET /tee/x%20y?q=1 HTTP/1.1\r\nHost: h\r\nX-Hop: 1\r\n"
                + "Connection: close, X-Hop\r\n\r\n");
        final String response = readAll(socket);
        assertThat(response, containsString("HTTP/1.1 201 "));
        assertThat(response, containsString("X-Path: /x%20y?q=1\r\n"));
        assertThat(response, containsString("X-Hop: null\r\n"));
        assertThat(response, containsString("Lentilsail-Outcome: ran\r\n"));
        assertThat(response.contains("forged"), is(false));
      }
    }
  }

  /** Guards against not-run for a keyed request that may have run through another daemon. */
  @Test
  void daemonWithoutConfigurationDoesNotKnowTheOutcomeOfKeys() throws Exception {
    try (EntryFixture entry = new EntryFixture()) {
      final HttpResponse<String> keyed =
          entry.send(
              "POST", "/tee/x", "", "Idempotency-Key", "01a2409d-1e1b-7b70-9a42-f32812626abf");
      assertThat(keyed.body(), containsString("no-configuration"));
      assertThat(EntryFixture.outcome(keyed), is("unknown"));
      assertThat(EntryFixture.outcome(entry.send("POST", "/tee/x", "")), is("not-run"));
    }
  }

  /** Guards against error responses without an error code or with the wrong outcome. */
  @ParameterizedTest
  @CsvSource({
    "/none/x, 10, 1, 404, not-found",
    "/tee/x, 1048577, 1, 413, too-large",
    "/tee/x, 10, 16384, 413, too-large",
    "/tee/x, 10, 1, 503, no-worker"
  })
  void rejectsWithErrorBody(
      final String path, final int body, final int field, final int status, final String code)
      throws Exception {
    try (EntryFixture entry = new EntryFixture()) {
      entry.configuration.with("a", "127.0.0.1:1", VmPhase.STOPPED);
      final HttpResponse<String> response =
          entry.send("POST", path, "x".repeat(body), "X-Large", "y".repeat(field));
      assertThat(response.statusCode(), is(status));
      assertThat(response.body(), containsString("\"code\":\"" + code + "\""));
      assertThat(EntryFixture.outcome(response), is("not-run"));
    }
  }

  /** Guards against requests that are accepted before the daemon has a configuration. */
  @Test
  void rejectsWithoutConfiguration() throws Exception {
    try (EntryFixture entry = new EntryFixture()) {
      final HttpResponse<String> response = entry.send("GET", "/tee/x", "");
      assertThat(response.body(), containsString("no-configuration"));
      assertThat(EntryFixture.outcome(response), is("not-run"));
    }
  }

  /**
   * Guards against a second run of a request that is not idempotent, and a missing retry of a GET.
   */
  @ParameterizedTest
  @CsvSource({"POST, 504, unknown", "GET, 201, ran", "PUT, 201, ran"})
  void retriesLostRequestOnlyWhenIdempotent(
      final String method, final int status, final String outcome) throws Exception {
    try (TestBackend broken =
            new TestBackend(exchange -> IoUtils.safeClose(exchange.getConnection()));
        TestBackend working = new TestBackend(ECHO);
        EntryFixture entry = new EntryFixture()) {
      entry.configuration.with("a", broken.address(), VmPhase.IN_SERVICE);
      entry.configuration.with("b", working.address(), VmPhase.IN_SERVICE);
      final HttpResponse<String> response = entry.send(method, "/tee/x", "");
      assertThat(response.statusCode(), is(status));
      assertThat(EntryFixture.outcome(response), is(outcome));
      assertThat(broken.requests(), is(1));
      assertThat(entry.inFlight.inFlight(FleetDocument.empty()).size(), is(0));
    }
  }

  /**
   * Guards against a not-run response of a draining worker that is not retried, or is forwarded.
   */
  @Test
  void sendsRefusedRequestToAnotherWorker() throws Exception {
    final HttpHandler draining =
        exchange -> {
          exchange.setStatusCode(503);
          exchange.getResponseHeaders().put(new HttpString(Outcome.FIELD), "not-run");
          exchange.endExchange();
        };
    try (TestBackend refusing = new TestBackend(draining);
        EntryFixture entry = new EntryFixture()) {
      entry.configuration.with("a", refusing.address(), VmPhase.IN_SERVICE);
      final HttpResponse<String> refused = entry.send("POST", "/tee/x", "body");
      assertThat(refused.body(), containsString("no-worker"));
      assertThat(EntryFixture.outcome(refused), is("not-run"));
      try (TestBackend working = new TestBackend(ECHO)) {
        entry.configuration.with("b", working.address(), VmPhase.IN_SERVICE);
        for (int i = 0; i < 10; i++) {
          assertThat(EntryFixture.outcome(entry.send("POST", "/tee/x", "body")), is("ran"));
        }
      }
    }
  }

  /** Guards against requests that continue after their caller has disconnected. */
  @Test
  void disconnectCancelsRequest() throws Exception {
    final AtomicReference<CompletableFuture<EntryResponse>> running = new AtomicReference<>();
    try (EntryFixture entry =
        new EntryFixture(
            request -> {
              running.set(new CompletableFuture<>());
              return running.get();
            })) {
      entry.configuration.with("a", "127.0.0.1:1", VmPhase.IN_SERVICE);
      try (Socket socket = new Socket("127.0.0.1", entry.server.address().getPort())) {
        write(socket, "POST /tee/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");
        EntryFixture.await(() -> running.get() != null);
      }
      EntryFixture.await(() -> running.get().isCancelled());
      EntryFixture.await(() -> entry.server.inFlight() == 0);
    }
  }

  /**
   * Guards against pipelined responses in the wrong order, and a second request that is lost while
   * the first runs.
   */
  @Test
  void keepsPipelinedResponsesInOrder() throws Exception {
    final ConcurrentHashMap<String, CompletableFuture<EntryResponse>> running =
        new ConcurrentHashMap<>();
    try (EntryFixture entry =
        new EntryFixture(
            request ->
                running.computeIfAbsent(request.path(), path -> new CompletableFuture<>()))) {
      entry.configuration.with("a", "127.0.0.1:1", VmPhase.IN_SERVICE);
      try (Socket socket = new Socket("127.0.0.1", entry.server.address().getPort())) {
        write(socket, "GET /tee/1 HTTP/1.1\r\nHost: h\r\n\r\n");
        EntryFixture.await(() -> running.containsKey("/1"));
        write(socket, "GET /tee/2 HTTP/1.1\r\nHost: h\r\n\r\nGET /tee/3 HTTP/1.1\r\nHo");
        write(socket, "st: h\r\nConnection: close\r\n\r\n");
        answer(running.get("/1"), "first");
        EntryFixture.await(() -> running.containsKey("/2"));
        answer(running.get("/2"), "second");
        EntryFixture.await(() -> running.containsKey("/3"));
        answer(running.get("/3"), "third");
        final String all = readAll(socket);
        assertThat(all.indexOf("first") < all.indexOf("second"), is(true));
        assertThat(all.indexOf("second") < all.indexOf("third"), is(true));
        assertThat(all, containsString("third"));
      }
    }
  }

  /** Guards against a shutdown that interrupts a request or accepts a new one. */
  @Test
  void shutdownCompletesRequests() throws Exception {
    final CompletableFuture<EntryResponse> running = new CompletableFuture<>();
    try (EntryFixture entry = new EntryFixture(request -> running)) {
      entry.configuration.with("a", "127.0.0.1:1", VmPhase.IN_SERVICE);
      final int port = entry.server.address().getPort();
      try (Socket first = new Socket("127.0.0.1", port);
          Socket second = new Socket("127.0.0.1", port)) {
        write(first, "GET /tee/1 HTTP/1.1\r\nHost: h\r\n\r\n");
        EntryFixture.await(() -> entry.server.inFlight() == 1);
        final CompletableFuture<Void> stopped = entry.server.stopGracefully(0);
        assertThat(entry.server.isReady(), is(false));
        EntryFixture.await(() -> refusesConnections(port));
        write(second, "GET /tee/2 HTTP/1.1\r\nHost: h\r\n\r\n");
        assertThat(readAll(second), containsString("\"code\":\"stopping\""));
        assertThat(stopped.isDone(), is(false));
        answer(running, "whole");
        assertThat(readAll(first), containsString("whole"));
        stopped.get(20, TimeUnit.SECONDS);
      }
    }
  }

  private static boolean refusesConnections(final int port) {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      return !socket.isConnected();
    } catch (final IOException refused) {
      return true;
    }
  }

  private static void answer(final CompletableFuture<EntryResponse> running, final String body) {
    running.complete(
        new EntryResponse(Outcome.RAN, 200, List.of(), body.getBytes(StandardCharsets.US_ASCII)));
  }

  private static void write(final Socket socket, final String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
  }

  private static String readAll(final Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
  }
}
