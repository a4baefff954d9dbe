package org.lentilsail.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lentilsail.Await;

/**
 * Guards against requests that are reported as not sent although they may have arrived, wrong
 * liveness of peers, and malformed frames that stop the process.
 */
class TcpPeerNetworkTest {
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);
  private static final int LARGE_BYTES = 8 * 1024 * 1024;

  private final TestPeers peers = new TestPeers();

  @AfterEach
  void stop() {
    peers.close();
  }

  @Test
  void deliversLargeRequestsAndReplies() throws Exception {
    final TcpPeerNetwork a = echo("a");
    final TcpPeerNetwork b = echo("b");
    awaitLive(a, "b");
    awaitLive(b, "a");
    final Echo reply =
        b.request("a", new Echo(new byte[LARGE_BYTES]), LONG_TIMEOUT, Echo.class)
            .get(60, TimeUnit.SECONDS);
    assertThat(reply.bytes().length, is(LARGE_BYTES));
    assertThat(
        a.request("b", new Echo(new byte[1]), LONG_TIMEOUT, Echo.class).get().bytes().length,
        is(1));
  }

  @Test
  void reportsHeartbeatsLossOfLivenessAndRestart() throws Exception {
    final List<String> events = new CopyOnWriteArrayList<>();
    final ConcurrentHashMap<String, Long> revisions = new ConcurrentHashMap<>();
    final TcpPeerNetwork a = peers.create("a");
    a.onPeerChange(view -> events.add(view.live() + " " + view.incarnation()));
    a.onHeartbeat(revisions::put);
    a.start();
    final TcpPeerNetwork first = peers.create("b", TestPeers.status(42));
    first.start();
    awaitLive(a, "b");
    Await.until("heartbeat", () -> revisions.getOrDefault("b", 0L) == 42);
    Await.until("platform flag", () -> a.peers().get(0).platformConnected());
    first.close();
    Await.until("loss of liveness", () -> !a.peers().get(0).live());
    final TcpPeerNetwork second = peers.create("b", TestPeers.status(0), first.address());
    second.start();
    Await.until("restart", () -> a.peers().get(0).incarnation() == second.incarnation());
    awaitLive(a, "b");
    assertThat(events.get(0), is("true " + first.incarnation()));
    assertThat(events.get(1), is("false " + first.incarnation()));
    assertThat(events.contains("true " + second.incarnation()), is(true));
  }

  @Test
  void cutLinkLosesLivenessAndRequestsOverItMayHaveArrived() throws Exception {
    final TcpPeerNetwork a = echo("a");
    final TcpPeerNetwork b = echo("b");
    awaitLive(a, "b");
    awaitLive(b, "a");
    peers.cut("b", "a");
    Await.until("loss of liveness", () -> !a.peers().get(0).live());
    assertThat(b.peers().get(0).live(), is(true));
    assertThat(
        failsMaybeSent(b.request("a", new Echo(new byte[1]), SHORT_TIMEOUT, Echo.class)), is(true));
    peers.restoreLinks();
    awaitLive(a, "b");
  }

  @Test
  void requestToPeerThatIsNotConnectedIsNotSent() throws Exception {
    try (Socket unresponsive = new Socket()) {
      unresponsive.bind(new InetSocketAddress("127.0.0.1", 0));
      peers.put("gone", (InetSocketAddress) unresponsive.getLocalSocketAddress());
      final TcpPeerNetwork a = echo("a");
      assertThat(
          failsMaybeSent(a.request("gone", new Echo(null), LONG_TIMEOUT, Echo.class)), is(false));
      assertThat(
          failsMaybeSent(a.request("nobody", new Echo(null), LONG_TIMEOUT, Echo.class)), is(false));
    }
  }

  @Test
  void requestThatWaitsBehindOthersIsNotSentAfterItsTimeout() throws Exception {
    try (ServerSocket unresponsive = listen()) {
      peers.put("deaf", address(unresponsive));
      final TcpPeerNetwork a = echo("a");
      final Socket accepted = unresponsive.accept();
      Await.until("connection", () -> a.state().toString().contains("\"connected\":true"));
      final CompletableFuture<Echo> first =
          a.request("deaf", new Echo(new byte[LARGE_BYTES]), LONG_TIMEOUT, Echo.class);
      final CompletableFuture<Echo> second =
          a.request("deaf", new Echo(new byte[LARGE_BYTES]), SHORT_TIMEOUT, Echo.class);
      assertThat(failsMaybeSent(second), is(false));
      accepted.close();
      assertThat(failsMaybeSent(first), is(true));
    }
  }

  @Test
  void refusesToQueueWithoutBound() throws Exception {
    try (ServerSocket unresponsive = listen()) {
      peers.put("deaf", address(unresponsive));
      final TcpPeerNetwork a = echo("a");
      final Socket accepted = unresponsive.accept();
      Await.until("connection", () -> a.state().toString().contains("\"connected\":true"));
      for (int i = 0; i < 10; i++) {
        a.send("deaf", new Echo(new byte[LARGE_BYTES]));
      }
      Await.until("drops", () -> peers.counter("a", "lentilsail_peer_dropped_messages") >= 5);
      accepted.close();
    }
  }

  @ParameterizedTest
  @CsvSource({
    "00000005 82, true",
    "7fffffff, false",
    "00000002 07c1, false",
    "00000001 80, false",
    "00000007 81a474797065a0, false"
  })
  void badFrameClosesOnlyItsConnection(final String hex, final boolean cut) throws Exception {
    final TcpPeerNetwork a = echo("a");
    final TcpPeerNetwork b = echo("b");
    awaitLive(b, "a");
    try (Socket socket = new Socket(a.address().getAddress(), a.address().getPort())) {
      socket.setSoTimeout((int) LONG_TIMEOUT.toMillis());
      socket.getOutputStream().write(HexFormat.of().parseHex(hex.replace(" ", "")));
      if (cut) {
        socket.shutdownOutput();
      }
      assertThat(socket.getInputStream().read(), is(-1));
    }
    Await.until("count", () -> peers.counter("a", "lentilsail_peer_bad_frames") == 1);
    assertThat(
        b.request("a", new Echo(new byte[1]), LONG_TIMEOUT, Echo.class).get().bytes().length,
        is(1));
  }

  @Test
  void unknownMessageIsIgnoredAndCounted() throws Exception {
    final TcpPeerNetwork a = echo("a");
    final TcpPeerNetwork b = peers.create("b");
    b.handle("odd", Echo.class, (from, message) -> null);
    b.start();
    awaitLive(b, "a");
    Await.until("connection", () -> b.state().toString().contains("\"connected\":true"));
    b.send("a", new Echo(null));
    assertThat(failsMaybeSent(b.request("a", new Echo(null), LONG_TIMEOUT, Echo.class)), is(true));
    assertThat(peers.counter("a", "lentilsail_peer_unknown_messages"), is(2.0));
    assertThat(a.peers().get(0).live(), is(true));
  }

  private TcpPeerNetwork echo(final String id) throws IOException {
    final TcpPeerNetwork result = peers.create(id);
    result.handle(
        "echo", Echo.class, (from, message) -> CompletableFuture.completedFuture(message));
    result.start();
    return result;
  }

  private static void awaitLive(final TcpPeerNetwork network, final String peer) throws Exception {
    Await.until(
        peer + " is live and connected",
        () ->
            network.peers().stream().anyMatch(view -> view.id().equals(peer) && view.live())
                && network.state().toString().contains("\"connected\":true"));
  }

  private static boolean failsMaybeSent(final CompletableFuture<Echo> request) {
    final ExecutionException error =
        assertThrows(ExecutionException.class, () -> request.get(60, TimeUnit.SECONDS));
    assertThat(error.getCause(), instanceOf(PeerUnreachableException.class));
    return ((PeerUnreachableException) error.getCause()).maybeSent();
  }

  private static ServerSocket listen() throws IOException {
    final ServerSocket result = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    result.setSoTimeout((int) LONG_TIMEOUT.toMillis());
    return result;
  }

  private static InetSocketAddress address(final ServerSocket socket) {
    return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
  }

  /** A message that the receiver sends back. */
  record Echo(byte[] bytes) implements PeerMessage {}
}
