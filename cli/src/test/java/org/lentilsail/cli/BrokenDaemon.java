package org.lentilsail.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * Forwards each request to a live daemon and closes the connection instead of responding, like a
 * daemon that crashes after it executed the request.
 */
final class BrokenDaemon implements AutoCloseable {
  private final ServerSocket socket;

  /** Daemon that executes the requests. */
  private final InetSocketAddress live;

  BrokenDaemon(final InetSocketAddress live) throws IOException {
    this.live = live;
    socket = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  private void accept() {
    while (!socket.isClosed()) {
      try (Socket client = socket.accept();
          Socket server = new Socket(live.getAddress(), live.getPort())) {
        start(() -> forward(client, server));
        // The first byte of the response shows that the request was executed.
        server.getInputStream().read();
      } catch (final IOException error) {
        // The test closed the socket, or the client closed the connection first.
      }
    }
  }

  private static void forward(final Socket client, final Socket server) {
    try {
      client.getInputStream().transferTo(server.getOutputStream());
    } catch (final IOException error) {
      // Both connections are closed once the request was executed.
    }
  }

  private static void start(final Runnable task) {
    final Thread thread = new Thread(task, "broken-daemon");
    thread.setDaemon(true);
    thread.start();
  }
}
