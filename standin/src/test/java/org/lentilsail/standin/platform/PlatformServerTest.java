package org.lentilsail.standin.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lentilsail.http.HttpCall;
import org.lentilsail.http.UndertowHttpCaller;
import org.lentilsail.model.error.ErrorCode;
import org.lentilsail.model.error.LentilsailException;
import org.lentilsail.model.time.TimeSource;
import org.lentilsail.platform.HttpPlatformClient;
import org.lentilsail.platform.VmOperation;
import org.lentilsail.platform.WatchResult;
import org.lentilsail.platform.WriteResult;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Guards against a platform client that confuses lost replies with failures, and against injected
 * faults that differ from their documentation.
 */
class PlatformServerTest {
  private static final JsonNode VALUE = TextNode.valueOf("a");
  private static final Optional<String> NO_LEASE = Optional.empty();

  /** Occupies a port at which nothing listens. */
  private final Socket boundSocket = new Socket();

  private XnioWorker worker;
  private UndertowHttpCaller http;
  private PlatformServer server;
  private HttpPlatformClient client;

  @BeforeEach
  void start() throws IOException {
    boundSocket.bind(new InetSocketAddress("127.0.0.1", 0));
    worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 2));
    http = new UndertowHttpCaller(worker, TimeSource.system());
    server =
        new PlatformServer(
            new PlatformSettings(
                null,
                List.of(
                    new VmSettings(
                        "v1", "worker", "127.0.0.1:" + boundSocket.getLocalPort(), "z", "r", "p")),
                null,
                0L,
                null,
                2));
    client = client(Duration.ofSeconds(10));
  }

  @AfterEach
  void stop() throws IOException {
    boundSocket.close();
    http.close();
    worker.shutdownNow();
    server.close();
  }

  @Test
  void writesReadsAndReportsConflicts() throws Exception {
    assertThat(write("a/b", 0).revision(), is(1L));
    assertThat(client.get("a/b").get().orElseThrow().value(), is(VALUE));
    assertThat(client.get("a/none").get(), is(Optional.empty()));
    final WriteResult conflict = write("a/b", 0);
    assertThat(conflict.written(), is(false));
    assertThat(conflict.current().orElseThrow().revision(), is(1L));
    assertThat(client.delete("none", 3).get().current(), is(Optional.empty()));
    assertThat(client.list("a/").get().values().size(), is(1));
    assertThat(client.delete("a/b", 1).get().revision(), is(2L));
  }

  @Test
  void watchWaitsForChange() throws Exception {
    final CompletableFuture<WatchResult> watch = client.watch("a/", 0, Duration.ofSeconds(60));
    write("b", 0);
    write("a/b", 0);
    final WatchResult result = watch.get(10, TimeUnit.SECONDS);
    assertThat(result.changes().get(0).revision(), is(2L));
    assertThat(result.complete(), is(true));
    write("c", 0);
    assertThat(client.watch("", 0, Duration.ofSeconds(60)).get().complete(), is(false));
    final WatchResult unchanged = client.watch("a/", 3, Duration.ofMillis(30)).get();
    assertThat(unchanged.changes(), is(List.of()));
  }

  @Test
  void revokingLeaseDeletesItsKeys() throws Exception {
    final String lease = client.grantLease(Duration.ofSeconds(60)).get();
    client.compareAndSet("held", 0, VALUE, Optional.of(lease)).get();
    assertThat(client.keepAlive(lease).get(), is(true));
    client.revokeLease(lease).get();
    assertThat(client.get("held").get(), is(Optional.empty()));
    assertThat(client.keepAlive(lease).get(), is(false));
    assertThat(
        codeOf(client.compareAndSet("held", 0, VALUE, Optional.of(lease))),
        is(ErrorCode.NOT_FOUND));
  }

  @Test
  void lostReplyOfWriteHasUnknownOutcome() throws Exception {
    fault("lose-replies", 0);
    assertThat(
        codeOf(client.compareAndSet("k", 0, VALUE, NO_LEASE)), is(ErrorCode.OUTCOME_UNKNOWN));
    assertThat(codeOf(client.get("k")), is(ErrorCode.PLATFORM_UNAVAILABLE));
    fault("ok", 0);
    assertThat(client.get("k").get().isPresent(), is(true));
  }

  @Test
  void slowWriteHasUnknownOutcomeAndTakesEffectLate() throws Exception {
    fault("slow", 2_000);
    final HttpPlatformClient shortTimeoutClient = client(Duration.ofSeconds(1));
    assertThat(
        codeOf(shortTimeoutClient.compareAndSet("k", 0, VALUE, NO_LEASE)),
        is(ErrorCode.OUTCOME_UNKNOWN));
    fault("ok", 0);
    assertThat(client.watch("k", 0, Duration.ofSeconds(30)).get().changes().get(0).key(), is("k"));
  }

  @Test
  void refusedWriteHadNoEffect() throws Exception {
    fault("refuse-writes", 0);
    assertThat(
        codeOf(client.compareAndSet("k", 0, VALUE, NO_LEASE)), is(ErrorCode.PLATFORM_UNAVAILABLE));
    assertThat(client.get("k").get(), is(Optional.empty()));
  }

  @Test
  void downClosesWaitingWatchesAndHasNoEffect() throws Exception {
    final CompletableFuture<WatchResult> watch = client.watch("", 0, Duration.ofSeconds(60));
    fault("down", 0);
    assertThat(codeOf(watch), is(ErrorCode.PLATFORM_UNAVAILABLE));
    assertThat(
        codeOf(client.compareAndSet("k", 0, VALUE, NO_LEASE)), is(ErrorCode.OUTCOME_UNKNOWN));
    fault("ok", 0);
    assertThat(client.get("k").get(), is(Optional.empty()));
  }

  @Test
  void writeToUnreachablePlatformHadNoEffect() {
    final HttpPlatformClient unconnected =
        new HttpPlatformClient(
            http,
            (InetSocketAddress) boundSocket.getLocalSocketAddress(),
            "d1",
            HttpPlatformClient.DEFAULT_TIMEOUT);
    assertThat(
        codeOf(unconnected.compareAndSet("k", 0, VALUE, NO_LEASE)),
        is(ErrorCode.PLATFORM_UNAVAILABLE));
  }

  @Test
  void rejectsValueOverOneMegabyte() throws Exception {
    final JsonNode large = TextNode.valueOf("x".repeat(1024 * 1024 - 2));
    assertThat(client.compareAndSet("k", 0, large, NO_LEASE).get().written(), is(true));
    final JsonNode larger = TextNode.valueOf("x".repeat(1024 * 1024 - 1));
    assertThat(codeOf(client.compareAndSet("k", 1, larger, NO_LEASE)), is(ErrorCode.TOO_LARGE));
  }

  @Test
  void operationMustNameTheBootGeneration() throws Exception {
    assertThat(client.vms().get().get(0).bootGeneration(), is(1L));
    assertThat(client.operate("v1", VmOperation.DRAIN, 2).get(), is(false));
    assertThat(
        codeOf(client.operate("v1", VmOperation.REBOOT, 1)), is(ErrorCode.PLATFORM_UNAVAILABLE));
    assertThat(codeOf(client.operate("v9", VmOperation.DRAIN, 1)), is(ErrorCode.NOT_FOUND));
  }

  @Test
  void countsCallsByClient() throws Exception {
    write("k", 0);
    client.get("k").get();
    final String counts = send("GET", "/v1/calls", "");
    assertThat(counts, containsString("\"total\":2"));
    assertThat(counts, containsString("\"d1\":2"));
    assertThat(counts, containsString("\"put-kv-one\":1"));
  }

  private HttpPlatformClient client(final Duration timeout) {
    return new HttpPlatformClient(http, server.address(), "d1", timeout);
  }

  private WriteResult write(final String key, final long expected) throws Exception {
    return client.compareAndSet(key, expected, VALUE, NO_LEASE).get();
  }

  private void fault(final String mode, final long delayMillis) throws Exception {
    send(
        "POST",
        "/standin/faults",
        "{\"client\":\"d1\",\"mode\":\"" + mode + "\",\"delayMillis\":" + delayMillis + "}");
  }

  private String send(final String method, final String path, final String body) throws Exception {
    final byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    final Duration limit = Duration.ofSeconds(10);
    final byte[] response =
        http.call(new HttpCall(server.address(), method, path, List.of(), bytes, limit, 10_000))
            .get()
            .body();
    return new String(response, StandardCharsets.UTF_8);
  }

  private static ErrorCode codeOf(final CompletableFuture<?> call) {
    final ExecutionException error =
        assertThrows(ExecutionException.class, () -> call.get(30, TimeUnit.SECONDS));
    return ((LentilsailException) error.getCause()).code();
  }
}
