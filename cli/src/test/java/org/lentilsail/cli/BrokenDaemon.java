package org.lentilsail.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Has each request carried out and closes the connection, as a daemon that dies then does. */
final class BrokenDaemon implements AutoCloseable {
  /** Where it listens. */
  private final ServerSocket socket;

  /** Daemon that carries out the requests. */
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
        // The first byte of the response shows that the request was carried out.
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
      // Both connections are closed once the request was carried out.
    }
  }

  private static void start(final Runnable task) {
    final Thread thread = new Thread(task, "broken-daemon");
    thread.setDaemon(true);
    thread.start();
  }
}
