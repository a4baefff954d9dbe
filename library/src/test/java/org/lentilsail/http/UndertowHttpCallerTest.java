package org.lentilsail.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lentilsail.model.time.TimeSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Guards against truncated responses reported as complete, and against reuse of a connection after
 * a timeout or after the server announced its close.
 */
class UndertowHttpCallerTest {
  private static final int LIMIT = 1_000;

  private XnioWorker worker;
  private UndertowHttpCaller caller;

  @BeforeEach
  void start() throws IOException {
    worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 2));
    caller = new UndertowHttpCaller(worker, TimeSource.system());
  }

  @AfterEach
  void stop() {
    caller.close();
    worker.shutdownNow();
  }

  /**
   * Guards against an exception in place of a failed call: the leader lost all workers after the
   * one whose entry had such an address (review/10).
   */
  @ParameterizedTest
  @ValueSource(strings = {"::1", "127.0.0.1", "no host", "", "[", "a_b"})
  void callToAddressThatCannotBeUsedFails(final String host) {
    final InetSocketAddress unused = InetSocketAddress.createUnresolved(host, 1);

    final CompletableFuture<HttpResponse> response = caller.call(get(unused, 2_000));

    assertThrows(ExecutionException.class, response::get);
  }

  @Test
  void reusesTheConnectionAfterCompleteResponse() throws Exception {
    try (RawServer server =
        new RawServer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false)) {
      for (int i = 0; i < 3; i++) {
        final HttpResponse response = caller.call(get(server.address(), 2_000)).get();
        assertThat(new String(response.body(), StandardCharsets.US_ASCII), is("ok"));
      }
      assertThat(server.connections(), is(1));
    }
  }

  @ParameterizedTest
  @CsvSource({
    "'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort', BROKEN",
    "'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n', BROKEN",
    "'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nshort', BROKEN",
    "'HTTP/1.1 200 OK\r\n\r\nuntil the end of the connection', BROKEN",
    "'HTTP/1.1 200 O', BROKEN",
    "'', BROKEN"
  })
  void reportsTruncatedResponse(final String response, final HttpFailure failure) throws Exception {
    try (RawServer server = new RawServer(response, true)) {
      final HttpCallException error = failureOf(get(server.address(), 2_000));
      assertThat(error.failure(), is(failure));
      assertThat(error.written(), is(true));
    }
  }

  /** The call has to be sent first: a connection without any byte of a request is just closed. */
  @Test
  void resetsTheConnectionOfCallThatTimedOut() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      final InetSocketAddress address =
          new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
      final CompletableFuture<HttpResponse> call = caller.call(get(address, 1_000));
      try (Socket accepted = server.accept()) {
        assertThat(accepted.getInputStream().read(), is((int) 'G'));
        assertThrows(ExecutionException.class, call::get);
        assertThrows(SocketException.class, () -> accepted.getInputStream().readAllBytes());
      }
    }
  }

  @Test
  void neverUsesConnectionThatTheServerCloses() throws Exception {
    try (RawServer server =
        new RawServer(
            "HTTP/1.1 200 OK\r\nConnection: x-hop, Close\r\nContent-Length: 2\r\n\r\nok", false)) {
      caller.call(get(server.address(), 2_000)).get();
      caller.call(get(server.address(), 2_000)).get();
      assertThat(server.connections(), is(2));
    }
  }

  @Test
  void neverUsesConnectionAfterTimeout() throws Exception {
    try (RawServer server =
        new RawServer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", false)) {
      assertThat(failureOf(get(server.address(), 100)).failure(), is(HttpFailure.TIMEOUT));
      assertThat(failureOf(get(server.address(), 100)).failure(), is(HttpFailure.TIMEOUT));
      assertThat(server.connections(), is(2));
    }
  }

  @Test
  void rejectsResponseOverTheLimit() throws Exception {
    final String body = "x".repeat(LIMIT + 1);
    try (RawServer server =
        new RawServer(
            "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body, false)) {
      assertThat(failureOf(get(server.address(), 2_000)).failure(), is(HttpFailure.TOO_LARGE));
    }
  }

  @Test
  void reportsThatNothingWasSentWithoutConnection() throws Exception {
    // Uses the port of a closed socket: a server that accepts and then closes the connection would
    // cause a reset instead of a refused connection.
    final InetSocketAddress address;
    try (ServerSocket bound = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = new InetSocketAddress("127.0.0.1", bound.getLocalPort());
    }
    final HttpCallException error = failureOf(get(address, 2_000));
    assertThat(error.failure(), is(HttpFailure.CONNECT));
    assertThat(error.written(), is(false));
  }

  private HttpCallException failureOf(final HttpCall call) {
    final ExecutionException error =
        assertThrows(ExecutionException.class, () -> caller.call(call).get());
    assertThat(error.getCause(), instanceOf(HttpCallException.class));
    return (HttpCallException) error.getCause();
  }

  private static HttpCall get(final InetSocketAddress target, final int timeoutMillis) {
    return new HttpCall(
        target,
        "GET",
        "/",
        List.of(new HttpField("Accept", "text/plain")),
        new byte[0],
        Duration.ofMillis(timeoutMillis),
        LIMIT);
  }
}
